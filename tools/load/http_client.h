// How the load tool sends statements, and the way over HTTP: many keep-alive connections through libcurl's
// multi interface on the calling thread.
#pragma once

#include "core/clock.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangoquay::load {

struct http_request {
    std::string m_url;
    std::string m_key;     // of the caller
    std::string m_session; // token; empty: none
    std::string m_body;
    core::milliseconds m_timeout{10000};
};

struct http_answer {
    long m_status = 0;  // 0: no complete answer
    bool m_sent = true; // false: certainly not sent, no connection was made
    std::string m_body;
    std::string m_session; // the token of the answer; empty: none
    std::string m_error;
};

using answer_handler = std::function<void(const http_answer&)>;

class caller_transport {
public:
    caller_transport() = default;
    virtual ~caller_transport() = default;
    caller_transport(const caller_transport&) = delete;
    caller_transport& operator=(const caller_transport&) = delete;
    caller_transport(caller_transport&&) = delete;
    caller_transport& operator=(caller_transport&&) = delete;

    virtual void submit(http_request request, answer_handler handler) = 0;
    // Sends and receives for at most `longest`; handlers are called from here.
    virtual void work(core::milliseconds longest) = 0;
    [[nodiscard]] virtual std::size_t in_flight() const = 0;
};

class http_client : public caller_transport {
public:
    http_client();
    ~http_client() override;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    void submit(http_request request, answer_handler handler) override;
    void work(core::milliseconds longest) override;
    [[nodiscard]] std::size_t in_flight() const override { return m_running.size(); }

private:
    struct exchange;

    void finish(CURL* easy, CURLcode code);

    CURLM* m_multi;
    std::vector<CURL*> m_idle;
    std::unordered_map<CURL*, std::unique_ptr<exchange>> m_running;
};

} // namespace mangoquay::load

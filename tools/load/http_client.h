// Transport interface of the load tool, and its implementation over HTTP.
//
// The HTTP client runs many keep-alive connections through libcurl's multi interface on the calling thread.
// Owns: the curl handles and the requests in progress.
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
    std::string m_key;     // API key of the caller.
    std::string m_session; // Session token; empty if there is none.
    std::string m_body;
    core::milliseconds m_timeout{10000};
};

struct http_answer {
    long m_status = 0;  // 0 if no complete response arrived.
    bool m_sent = true; // False only if no connection was made, so the request was certainly not sent.
    std::string m_body;
    std::string m_session; // Session token of the response; empty if there is none.
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

    // Starts a request. process_events() calls `handler` once, unless the transport is destroyed first.
    virtual void submit(http_request request, answer_handler handler) = 0;
    // Sends and receives, waiting at most `max_wait` if nothing has finished; calls the handlers of finished
    // requests.
    virtual void process_events(core::milliseconds max_wait) = 0;
    // Number of submitted requests that have not finished.
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
    void process_events(core::milliseconds max_wait) override;
    [[nodiscard]] std::size_t in_flight() const override { return m_running.size(); }

private:
    struct exchange;

    void finish(CURL* easy, CURLcode code);

    CURLM* m_multi;
    std::vector<CURL*> m_idle;
    std::unordered_map<CURL*, std::unique_ptr<exchange>> m_running;
};

} // namespace mangoquay::load

// HTTP requests over many keep-alive connections, through libcurl's multi interface on the calling thread.
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

class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    void submit(http_request request, answer_handler handler);
    // Sends and receives for at most `longest`; handlers are called from here.
    void work(core::milliseconds longest);
    [[nodiscard]] std::size_t in_flight() const { return m_running.size(); }

private:
    struct exchange;

    void finish(CURL* easy, CURLcode code);

    CURLM* m_multi;
    std::vector<CURL*> m_idle;
    std::unordered_map<CURL*, std::unique_ptr<exchange>> m_running;
};

} // namespace mangoquay::load

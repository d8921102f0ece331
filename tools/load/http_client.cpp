// HTTP client on libcurl's multi interface.
#include "http_client.h"

#include <algorithm>
#include <strings.h>

namespace mangoquay::load {
namespace {

constexpr long max_cached_connections = 20000;
constexpr std::string_view session_header = "X-Mangoquay-Session:";

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* answer) {
    static_cast<http_answer*>(answer)->m_body.append(data, size * count);
    return size * count;
}

std::size_t read_header(char* data, std::size_t size, std::size_t count, void* answer) {
    const std::string_view line(data, size * count);
    const bool is_session = line.size() > session_header.size() &&
                            strncasecmp(line.data(), session_header.data(), session_header.size()) == 0;
    if (is_session) {
        std::string_view value = line.substr(session_header.size());
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        static_cast<http_answer*>(answer)->m_session = value.substr(0, value.find_first_of("\r\n"));
    }
    return line.size();
}

// libcurl resends a request on its own when a reused connection turns out to be closed, which could run a
// write twice. Refusing to rewind the body prevents that.
int refuse_rewind(void*, curl_off_t, int) {
    return CURL_SEEKFUNC_FAIL;
}

} // namespace

struct http_client::exchange {
    http_request m_request;
    answer_handler m_handler;
    http_answer m_answer;
    curl_slist* m_headers = nullptr;
    std::size_t m_sent = 0;

    static std::size_t read_body(char* buffer, std::size_t size, std::size_t count, void* self) {
        auto& running = *static_cast<exchange*>(self);
        const std::size_t length = std::min(size * count, running.m_request.m_body.size() - running.m_sent);
        std::copy_n(running.m_request.m_body.data() + running.m_sent, length, buffer);
        running.m_sent += length;
        return length;
    }
};

http_client::http_client() : m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
}

http_client::~http_client() {
    for (const auto& [easy, running] : m_running) {
        curl_multi_remove_handle(m_multi, easy);
        curl_slist_free_all(running->m_headers);
        curl_easy_cleanup(easy);
    }
    for (CURL* easy : m_idle) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
}

void http_client::submit(http_request request, answer_handler handler) {
    CURL* easy = m_idle.empty() ? curl_easy_init() : m_idle.back();
    if (!m_idle.empty()) {
        m_idle.pop_back();
    }
    auto started = std::make_unique<exchange>();
    started->m_request = std::move(request);
    started->m_handler = std::move(handler);
    const auto add_header = [&started](const std::string& line) {
        started->m_headers = curl_slist_append(started->m_headers, line.c_str());
    };
    add_header("Content-Type: application/json");
    add_header("Expect:");
    add_header("Authorization: Bearer " + started->m_request.m_key);
    if (!started->m_request.m_session.empty()) {
        add_header("X-Mangoquay-Session: " + started->m_request.m_session);
    }
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, started->m_request.m_url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, started->m_headers);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(started->m_request.m_body.size()));
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, &exchange::read_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, started.get());
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, refuse_rewind);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &started->m_answer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &started->m_answer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(started->m_request.m_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    m_running.emplace(easy, std::move(started));
    curl_multi_add_handle(m_multi, easy);
}

void http_client::process_events(core::milliseconds max_wait) {
    int running = 0;
    curl_multi_perform(m_multi, &running);
    bool finished = false;
    int queued = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &queued)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
            finished = true;
        }
    }
    if (!finished) {
        curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(max_wait.count()), nullptr);
    }
}

void http_client::finish(CURL* easy, CURLcode code) {
    const auto found = m_running.find(easy);
    const std::unique_ptr<exchange> ended = std::move(found->second);
    m_running.erase(found);
    curl_multi_remove_handle(m_multi, easy);
    m_idle.push_back(easy);
    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &ended->m_answer.m_status);
    } else {
        ended->m_answer.m_error = curl_easy_strerror(code);
        ended->m_answer.m_sent = code != CURLE_COULDNT_CONNECT;
    }
    curl_slist_free_all(ended->m_headers);
    ended->m_handler(ended->m_answer);
}

} // namespace mangoquay::load

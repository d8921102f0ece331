// HTTP client of the ctl command, implemented with ulfius.
#include "cli/http_request.h"

#include <ulfius.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <system_error>

namespace mangoquay::cli {
namespace {

// Temporary folder that contains a symbolic link to a CA file, because ulfius accepts only a folder of
// certificates.
class certificate_folder {
public:
    explicit certificate_folder(const std::string& file) {
        if (file.empty()) {
            return;
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "mangoquay-ca-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            return;
        }
        m_path = pattern;
        std::error_code ignored;
        std::filesystem::create_symlink(std::filesystem::absolute(file), m_path / "ca.pem", ignored);
    }
    ~certificate_folder() {
        if (!m_path.empty()) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    certificate_folder(const certificate_folder&) = delete;
    certificate_folder& operator=(const certificate_folder&) = delete;
    certificate_folder(certificate_folder&&) = delete;
    certificate_folder& operator=(certificate_folder&&) = delete;

    [[nodiscard]] const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

struct request_deleter {
    void operator()(_u_request* request) const { ulfius_clean_request_full(request); }
};
struct response_deleter {
    void operator()(_u_response* response) const { ulfius_clean_response_full(response); }
};

template <class Value>
Value* allocate() {
    // Allocated with calloc() because ulfius releases the value with free().
    return static_cast<Value*>(std::calloc(1, sizeof(Value)));
}

} // namespace

core::result<http_response> send_request(const http_request& request) {
    const std::unique_ptr<_u_request, request_deleter> ulfius_request(allocate<_u_request>());
    const std::unique_ptr<_u_response, response_deleter> ulfius_response(allocate<_u_response>());
    ulfius_init_request(ulfius_request.get());
    ulfius_init_response(ulfius_response.get());
    const certificate_folder certificates(request.m_ca_file);
    const std::string authorization = "Bearer " + request.m_key;
    ulfius_set_request_properties(ulfius_request.get(), U_OPT_HTTP_VERB, request.m_method.c_str(),
                                  U_OPT_HTTP_URL, request.m_url.c_str(), U_OPT_TIMEOUT, request.m_timeout_s,
                                  U_OPT_HEADER_PARAMETER, "Authorization", authorization.c_str(), U_OPT_NONE);
    if (!request.m_body.empty()) {
        ulfius_set_request_properties(ulfius_request.get(), U_OPT_HEADER_PARAMETER, "Content-Type",
                                      "application/json", U_OPT_STRING_BODY, request.m_body.c_str(),
                                      U_OPT_NONE);
    }
    if (!certificates.path().empty()) {
        ulfius_set_request_properties(ulfius_request.get(), U_OPT_CA_PATH, certificates.path().c_str(),
                                      U_OPT_NONE);
    }
    const int status = ulfius_send_http_request(ulfius_request.get(), ulfius_response.get());
    if (status != U_OK) {
        return core::result<http_response>::failure("no response from " + request.m_url);
    }
    const char* body = static_cast<const char*>(ulfius_response->binary_body);
    return http_response{ulfius_response->status,
                         body == nullptr ? std::string{}
                                         : std::string(body, ulfius_response->binary_body_length)};
}

} // namespace mangoquay::cli

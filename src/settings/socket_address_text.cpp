// Parses and formats socket addresses.
#include "settings/socket_address_text.h"

#include <arpa/inet.h>

#include <charconv>

namespace mangoquay::settings {
namespace {

bool is_ip_address(int family, const std::string& host) {
    in6_addr buffer{}; // Large enough for IPv4 and IPv6 addresses.
    return inet_pton(family, host.c_str(), &buffer) == 1;
}

} // namespace

std::optional<control::socket_address> parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    control::socket_address address;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, parse_error] = std::from_chars(port.data(), port.data() + port.size(), address.m_port);
    if (parse_error != std::errc{} || end != port.data() + port.size() || address.m_port == 0) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    if (!is_ip_address(bracketed ? AF_INET6 : AF_INET, host)) {
        return std::nullopt;
    }
    address.m_host = host;
    return address;
}

std::optional<control::socket_address> read_socket_address(core::json_reader& reader, const char* name) {
    const std::optional<std::string> text = reader.text(name);
    if (!text) {
        return std::nullopt;
    }
    std::optional<control::socket_address> address = parse_socket_address(*text);
    if (!address) {
        reader.add_error(name, address_format);
    }
    return address;
}

std::string to_text(const control::socket_address& address) {
    const bool needs_brackets = address.m_host.find(':') != std::string::npos;
    const std::string host = needs_brackets ? "[" + address.m_host + "]" : address.m_host;
    return host + ":" + std::to_string(address.m_port);
}

} // namespace mangoquay::settings

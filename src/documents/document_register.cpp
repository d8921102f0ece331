// An entry is the version in eight bytes, big-endian, followed by the bytes of the document.
#include "documents/document_register.h"

namespace mangoquay::documents {
namespace {

constexpr std::size_t version_bytes = 8;
constexpr unsigned bits_per_byte = 8;

} // namespace

std::string document_register::encode(document_version version, std::string_view bytes) {
    std::string entry;
    entry.reserve(version_bytes + bytes.size());
    for (std::size_t index = version_bytes; index-- > 0;) {
        entry.push_back(static_cast<char>(version.value() >> (index * bits_per_byte) & 0xffU));
    }
    entry.append(bytes);
    return entry;
}

void document_register::apply(std::string_view entry) {
    if (entry.size() < version_bytes) {
        return; // Raft appends empty entries of its own.
    }
    std::uint64_t number = 0;
    for (const char byte : entry.substr(0, version_bytes)) {
        number = number << bits_per_byte | static_cast<unsigned char>(byte);
    }
    if (number <= m_version.value()) {
        return;
    }
    m_version = document_version(number);
    m_bytes = entry.substr(version_bytes);
}

} // namespace mangoquay::documents

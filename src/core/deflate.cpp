// Compression and decompression by zlib.
#include "core/deflate.h"

#include <zlib.h>

#include <string>

namespace mangoquay::core {
namespace {

const Bytef* as_zlib(std::string_view bytes) {
    return reinterpret_cast<const Bytef*>(bytes.data()); // NOLINT(*-reinterpret-cast): zlib's byte type
}

Bytef* as_zlib(std::string& bytes) {
    return reinterpret_cast<Bytef*>(bytes.data()); // NOLINT(*-reinterpret-cast): zlib's byte type
}

} // namespace

std::string deflate(std::string_view bytes) {
    uLongf length = compressBound(bytes.size());
    std::string compressed(length, '\0');
    // Cannot fail, because the buffer is large enough.
    compress(as_zlib(compressed), &length, as_zlib(bytes), bytes.size());
    compressed.resize(length);
    return compressed;
}

result<std::string> inflate(std::string_view bytes, std::size_t length) {
    if (length > max_inflated_bytes) {
        return result<std::string>::failure("uncompressed length " + std::to_string(length) +
                                            " exceeds the limit");
    }
    std::string uncompressed(length, '\0');
    uLongf written = length;
    const int code = uncompress(as_zlib(uncompressed), &written, as_zlib(bytes), bytes.size());
    if (code != Z_OK || written != length) {
        return result<std::string>::failure("decompression failed: zlib code " + std::to_string(code) + ", " +
                                            std::to_string(written) + " bytes written");
    }
    return uncompressed;
}

} // namespace mangoquay::core

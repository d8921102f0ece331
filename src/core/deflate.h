// Compression of large messages for slow networks, by zlib's deflate.
#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mangoquay::core {

// Limit of a message's uncompressed length. Larger than any document that an operator may send; a larger
// length is treated as corrupt.
inline constexpr std::size_t max_inflated_bytes = 4U * 1024U * 1024U;

std::string deflate(std::string_view bytes);
// Fails unless the uncompressed length of `bytes` is exactly `length`, which must not exceed
// max_inflated_bytes.
result<std::string> inflate(std::string_view bytes, std::size_t length);

} // namespace mangoquay::core

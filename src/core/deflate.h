// Compression of large messages for thin links, by zlib's deflate.
#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mangoquay::core {

// Larger than any document that an operator may send; a length beyond it is not believed.
inline constexpr std::size_t max_inflated_bytes = 4U * 1024U * 1024U;

std::string deflate(std::string_view bytes);
// Fails unless `bytes` holds exactly `length` bytes when inflated.
result<std::string> inflate(std::string_view bytes, std::size_t length);

} // namespace mangoquay::core

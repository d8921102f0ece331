// Identifiers shared by all slices.
#pragma once

#include "core/strong_value.h"

#include <cstdint>
#include <string>

namespace mangoquay::core {

// A machine that runs mangoquay, as proxy, control host or both.
using entry_host_id = strong_value<struct entry_host_id_tag, std::string>;
using availability_zone = strong_value<struct availability_zone_tag, std::string>;
// One database server process.
using endpoint_id = strong_value<struct endpoint_id_tag, std::string>;
// A primary and its replicas.
using group_id = strong_value<struct group_id_tag, std::string>;
using service_name = strong_value<struct service_name_tag, std::string>;
using preset_name = strong_value<struct preset_name_tag, std::string>;
using caller_id = strong_value<struct caller_id_tag, std::string>;
using transaction_id = strong_value<struct transaction_id_tag, std::string>;
using idempotency_key = strong_value<struct idempotency_key_tag, std::string>;
// ISO 8601 date, for example 2026-12-04.
using business_day = strong_value<struct business_day_tag, std::string>;
// Chosen by an operator client; a resend carries the same one.
using request_id = strong_value<struct request_id_tag, std::string>;

// Timeline of a database group; rises with each promotion.
using term = strong_value<struct term_tag, std::uint32_t>;
// Log sequence number, a byte offset in the write-ahead log.
using log_position = strong_value<struct log_position_tag, std::uint64_t>;
// Rises each time an endpoint gets another owner.
using owner_epoch = strong_value<struct owner_epoch_tag, std::uint64_t>;
// Rises each time a proxy process starts.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
// Index of an entry in the control log.
using revision = strong_value<struct revision_tag, std::uint64_t>;

} // namespace mangoquay::core

// Interface of the byte protocol that callers and databases use. An adapter implements it; the entry host
// handles only decoded messages.
//
// An implementation keeps no state between calls except in the objects that are passed in.
#pragma once

#include "documents/customers.h"
#include "promotion/promotion_core.h"
#include "registry/endpoint_registry.h"
#include "relay/statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mangoquay::entry {

enum class message_kind : std::uint8_t { startup, statement, terminate, malformed, too_long };

struct caller_message {
    message_kind m_kind = message_kind::malformed;
    std::string m_database;                     // Set for startup.
    std::optional<documents::key_digest> m_key; // Of the startup; empty if the caller sent no key.
    relay::session_statement m_statement;
};

// The part of one database answer that has been received so far.
struct partial_answer {
    relay::database_answer m_answer;
    bool m_complete = false;
};

enum class answer_progress : std::uint8_t { incomplete, complete, malformed };

class session_protocol {
public:
    session_protocol() = default;
    virtual ~session_protocol() = default;
    session_protocol(const session_protocol&) = delete;
    session_protocol& operator=(const session_protocol&) = delete;
    session_protocol(session_protocol&&) = delete;
    session_protocol& operator=(session_protocol&&) = delete;

    // Decodes the message of a caller that begins at `offset` of `received` and advances the offset past it.
    // Returns nothing if the message is not complete.
    virtual std::optional<caller_message> decode_caller_message(const std::string& received,
                                                                std::size_t& offset) const = 0;
    // Whether decode_caller_message() could return something from the start of `received`, after it returned
    // nothing when only the first `known` bytes had arrived. Spares a long message that arrives in many
    // pieces from being read again with each of them.
    [[nodiscard]] virtual bool may_have_caller_message(const std::string& received,
                                                       std::size_t known) const = 0;
    // The functions named encode_* append to `out`. This one accepts a startup.
    virtual void encode_ready(std::string& out) const = 0;
    // A refusal that does not answer a statement. The connection is closed after it.
    virtual void encode_refusal(relay::refusal reason, const std::string& text, std::string& out) const = 0;
    virtual void encode_answer(const relay::session_answer& answer, std::string& out) const = 0;

    // Whether a database would read the startup's fields as they are.
    [[nodiscard]] virtual bool can_encode(const registry::endpoint_report& target) const = 0;
    // Opens a session at the database; to be called only if can_encode() holds for it. Names the customer
    // whose statements the session will run, or this program if there is none.
    virtual void encode_startup(const registry::endpoint_report& target,
                                const std::optional<core::customer_name>& customer,
                                std::string& out) const = 0;
    virtual void encode_request(const relay::database_request& request, std::string& out) const = 0;
    // Whether a database would read the request's fields as they are. False if one of them contains an end of
    // a field or of a message, or if the message would be too long. A statement that is forwarded unchanged
    // has the size of the caller's message. No other request may be encoded.
    [[nodiscard]] virtual bool can_encode(const relay::database_request& request) const = 0;
    // Decodes the row that answers a status request or a promotion step. Returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<promotion::endpoint_status>
    decode_status(const std::string& row) const = 0;
    // Adds to `answer` the part of one answer that `received` holds from `offset` on, and advances the offset
    // past it. The answer to a startup has no rows and no signature.
    virtual answer_progress decode_answer(const std::string& received, std::size_t& offset,
                                          partial_answer& answer) const = 0;
};

} // namespace mangoquay::entry

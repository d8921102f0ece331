// Typed messages over the peer connections: encodes and verifies envelopes and passes each kind of message to
// its handler.
//
// Owns: the handlers. A message of a host to itself is encoded, posted to the event loop and decoded without
// a connection. Runs on the event loop's thread.
#pragma once

#include "transport/peer_network.h"
#include "wire/mangoquay_generated.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mangoquay::transport {

class message_bus {
public:
    message_bus(event_loop& loop, peer_network& network, core::entry_host_id self);

    // Sets the handler of one kind of message and replaces an earlier one. Messages without a handler are
    // dropped.
    template <class Message>
    void set_handler(std::function<void(const core::entry_host_id& from, const Message& message)> handler) {
        const wire::message kind = wire::messageUnionTraits<Message>::enum_value;
        m_handlers[kind] = [handler = std::move(handler)](const core::entry_host_id& from,
                                                          const wire::messageUnion& body) {
            handler(from, *static_cast<const Message*>(body.value));
        };
    }

    // Returns false if the message was not passed to a connection. True does not guarantee delivery.
    template <class Message>
    bool send(const core::entry_host_id& to, Message message) {
        wire::envelopeT envelope;
        envelope.body.Set(std::move(message));
        return send_envelope(to, envelope);
    }

    // Messages and their bytes, without the framing, that were passed to connections since the start.
    struct sent_amount {
        std::uint64_t m_messages = 0;
        std::uint64_t m_bytes = 0;
    };
    // By the name of the kind of message.
    [[nodiscard]] const std::map<std::string, sent_amount>& sent_amounts() const { return m_sent; }

private:
    using body_handler = std::function<void(const core::entry_host_id&, const wire::messageUnion&)>;

    bool send_envelope(const core::entry_host_id& to, const wire::envelopeT& envelope);
    void on_frame_received(const core::entry_host_id& from, frame body);

    event_loop& m_loop;
    peer_network& m_network;
    core::entry_host_id m_self;
    std::map<wire::message, body_handler> m_handlers;
    std::map<std::string, sent_amount> m_sent;
};

// Encodes an envelope. Public for tests and fuzzing.
std::vector<std::uint8_t> pack_envelope(const wire::envelopeT& envelope);
// Verifies and decodes an envelope. Returns nullptr if the bytes are not a well-formed envelope.
std::unique_ptr<wire::envelopeT> unpack_envelope(frame body);

} // namespace mangoquay::transport

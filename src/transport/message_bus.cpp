// Encoding, verification and dispatch of envelopes.
#include "transport/message_bus.h"

#include "core/log.h"

#include <memory>

namespace mangoquay::transport {

message_bus::message_bus(event_loop& loop, peer_network& network, core::entry_host_id self)
    : m_loop(loop), m_network(network), m_self(std::move(self)) {
    m_network.on_frame(
        [this](const core::entry_host_id& from, frame body) { on_frame_received(from, body); });
}

bool message_bus::send_envelope(const core::entry_host_id& to, const wire::envelopeT& envelope) {
    std::vector<std::uint8_t> bytes = pack_envelope(envelope);
    if (to != m_self) {
        sent_amount& sent = m_sent[wire::EnumNamemessage(envelope.body.type)];
        ++sent.m_messages;
        sent.m_bytes += bytes.size();
        return m_network.send(to, std::move(bytes));
    }
    m_loop.post([this, bytes = std::move(bytes)] { on_frame_received(m_self, bytes); });
    return true;
}

void message_bus::on_frame_received(const core::entry_host_id& from, frame body) {
    const auto envelope = unpack_envelope(body);
    if (!envelope || envelope->body.value == nullptr) {
        core::log_line(core::log_level::warning, "transport",
                       "malformed message dropped peer=" + from.value());
        return;
    }
    const auto handler = m_handlers.find(envelope->body.type);
    if (handler != m_handlers.end()) {
        handler->second(from, envelope->body);
    }
}

std::vector<std::uint8_t> pack_envelope(const wire::envelopeT& envelope) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::envelope::Pack(builder, &envelope));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::unique_ptr<wire::envelopeT> unpack_envelope(frame body) {
    flatbuffers::Verifier verifier(body.data(), body.size());
    if (!wire::VerifyenvelopeBuffer(verifier)) {
        return nullptr;
    }
    return std::unique_ptr<wire::envelopeT>(wire::Getenvelope(body.data())->UnPack());
}

} // namespace mangoquay::transport

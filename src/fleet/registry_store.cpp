// The file holds a SHA-256 digest, followed by the list of reports as a FlatBuffers message.
#include "fleet/registry_store.h"

#include "consensus/atomic_file.h"
#include "core/digest.h"
#include "core/log.h"
#include "registry/registry_wire.h"
#include "transport/message_bus.h"

#include <utility>

namespace mangoquay::fleet {
namespace {

constexpr const char* file_name = "endpoints";

} // namespace

std::string encode_reports(const std::vector<registry::endpoint_report>& reports) {
    wire::fleet_updateT list;
    for (const registry::endpoint_report& report : reports) {
        list.endpoints.push_back(std::make_unique<wire::endpoint_entryT>(registry::to_wire(report)));
    }
    wire::envelopeT envelope;
    envelope.body.Set(std::move(list));
    const std::vector<std::uint8_t> packed = transport::pack_envelope(envelope);
    const std::string content(packed.begin(), packed.end());
    return core::sha256(content) + content;
}

std::optional<std::vector<registry::endpoint_report>> decode_reports(const std::string& bytes) {
    const std::size_t digest_bytes = core::sha256("").size();
    if (bytes.size() < digest_bytes ||
        core::sha256(bytes.substr(digest_bytes)) != bytes.substr(0, digest_bytes)) {
        return std::nullopt;
    }
    const std::vector<std::uint8_t> content(bytes.begin() + static_cast<std::ptrdiff_t>(digest_bytes),
                                            bytes.end());
    const auto envelope = transport::unpack_envelope(content);
    if (!envelope || envelope->body.Asfleet_update() == nullptr) {
        return std::nullopt;
    }
    std::vector<registry::endpoint_report> reports;
    for (const auto& entry : envelope->body.Asfleet_update()->endpoints) {
        reports.push_back(registry::from_wire(*entry));
    }
    return reports;
}

registry_store::registry_store(std::string folder) : m_folder(std::move(folder)) {}

registry_store::~registry_store() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::vector<registry::endpoint_report> registry_store::load() const {
    const auto content = consensus::read_file(m_folder + "/" + file_name);
    if (!content || !*content) {
        const std::string reason = content ? "no file" : content.reason();
        core::log_line(core::log_level::info, "fleet", "no persisted endpoints loaded reason=" + reason);
        return {};
    }
    auto reports = decode_reports(**content);
    if (!reports) {
        core::log_line(core::log_level::warning, "fleet", "persisted endpoints ignored reason=damaged");
        return {};
    }
    core::log_line(core::log_level::info, "fleet",
                   "persisted endpoints loaded count=" + std::to_string(reports->size()));
    return std::move(*reports);
}

void registry_store::save(const std::vector<registry::endpoint_report>& reports) {
    if (!m_thread.joinable()) {
        m_thread = std::thread([this] { run_writer(); });
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pending_content = encode_reports(reports);
    }
    m_wake.notify_one();
}

void registry_store::run_writer() {
    for (;;) {
        std::string content;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_stopping || m_pending_content; });
            if (m_stopping) {
                return;
            }
            content = std::move(*m_pending_content);
            m_pending_content.reset();
        }
        const auto written = consensus::replace_file(m_folder, file_name, content);
        if (!written) {
            core::log_line(core::log_level::warning, "fleet",
                           "endpoints not persisted reason=" + written.reason());
        }
    }
}

} // namespace mangoquay::fleet

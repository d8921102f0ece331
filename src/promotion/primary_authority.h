// Strategies that ensure that no entry host acknowledges a write of an old primary after a replica has been
// promoted.
//
// Two cases differ: databases whose executor ends the lead of the old primary together with the promotion,
// and databases whose old primary goes on until it is stepped down. In the second case the promotion core
// orders a promotion only after reserve() has returned true.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <optional>

namespace mangoquay::promotion {

class primary_authority {
public:
    primary_authority() = default;
    virtual ~primary_authority() = default;
    primary_authority(const primary_authority&) = delete;
    primary_authority& operator=(const primary_authority&) = delete;
    primary_authority(primary_authority&&) = delete;
    primary_authority& operator=(primary_authority&&) = delete;

    // The endpoint that was last reserved, possibly by an earlier leader. Empty if none was, or if entry
    // hosts choose the primary by its own reports.
    [[nodiscard]] virtual std::optional<core::endpoint_id>
    assigned_primary(const core::service_name& service) const = 0;
    // Entry hosts shall use no primary of the service until restore().
    virtual void withdraw(const core::service_name& service) = 0;
    // Entry hosts may use the assigned primary.
    virtual void restore(const core::service_name& service) = 0;
    // The endpoint answered that it is not a primary any more.
    virtual void on_stepped_down(const core::service_name& service, const core::endpoint_id& endpoint) = 0;
    // Withdraws the service and assigns `target` once no entry host can use another primary. Returns true
    // when that is done and committed; called repeatedly until then.
    virtual bool reserve(const core::service_name& service, const core::endpoint_id& target,
                         core::time_point now) = 0;
    // Whether the entry host may use any primary now, or did until a moment ago.
    [[nodiscard]] virtual bool may_use_primaries(const core::entry_host_id& host,
                                                 core::time_point now) const = 0;
};

// For databases whose old primary loses the lead in the moment of the promotion.
class unrestricted_authority final : public primary_authority {
public:
    [[nodiscard]] std::optional<core::endpoint_id>
    assigned_primary(const core::service_name&) const override {
        return std::nullopt;
    }
    void withdraw(const core::service_name&) override {}
    void restore(const core::service_name&) override {}
    void on_stepped_down(const core::service_name&, const core::endpoint_id&) override {}
    bool reserve(const core::service_name&, const core::endpoint_id&, core::time_point) override {
        return true;
    }
    [[nodiscard]] bool may_use_primaries(const core::entry_host_id&, core::time_point) const override {
        return true;
    }
};

} // namespace mangoquay::promotion

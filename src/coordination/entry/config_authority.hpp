#pragma once

#include "state/entry/serving_config.hpp"

#include <memory>

namespace carawayturn::entry
{

/// Holds the configuration in force and knows how long ago the store confirmed that it is
/// the newest one. Answers the load pattern "keys are withdrawn while the store turns
/// this instance away": keyed requests stop before a withdrawn key could still be
/// honoured.
class config_authority
{
public:
    /// @param confirmation_limit greatest age of a confirmation for keyed requests.
    explicit config_authority(duration max_confirmation_age);

    void set_max_confirmation_age(duration max_confirmation_age)
    {
        max_confirmation_age_ = max_confirmation_age;
    }

    /// Puts a configuration in force. Returns false for one that is not newer.
    bool accept(std::shared_ptr<serving_config const> config);

    /// Records that `version` was the newest one at some moment after `asked_at`. A
    /// confirmation of a version that is not in force here proves nothing.
    void confirm(std::uint64_t version, time_point asked_at);

    /// The configuration in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<serving_config const> const& current() const
    {
        return config_;
    }
    [[nodiscard]] std::uint64_t version() const;
    /// The newest version that was ever heard of; above version() while it is missing.
    [[nodiscard]] std::uint64_t newest_known_version() const
    {
        return newest_known_version_;
    }
    void note_version(std::uint64_t version);
    /// Whether a newer version than the one in force is known to exist.
    [[nodiscard]] bool outdated() const { return newest_known_version_ > version(); }

    /// Age of the last confirmation.
    [[nodiscard]] duration confirmation_age(time_point now) const;
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }
    [[nodiscard]] bool may_serve_keyed(time_point now) const;

private:
    duration max_confirmation_age_;
    std::shared_ptr<serving_config const> config_;
    std::uint64_t newest_known_version_ = 0;
    time_point confirmed_at_{};
};

} // namespace carawayturn::entry

#pragma once

#include "state/entry/serving_config.hpp"

#include <memory>

namespace carawayturn::entry
{

/// Holds the configuration in force, and the time at which the store last confirmed that
/// it is the newest one. This handles the load pattern "keys are withdrawn while the
/// store turns this instance away": keyed requests are no longer served before a
/// withdrawn key could still be accepted.
class config_authority
{
public:
    /// @param max_confirmation_age maximum age of the confirmation for serving keyed
    ///     requests.
    explicit config_authority(duration max_confirmation_age);

    void set_max_confirmation_age(duration max_confirmation_age)
    {
        max_confirmation_age_ = max_confirmation_age;
    }

    /// Puts a configuration in force. Returns false if it is not newer than the current
    /// one.
    bool accept(std::shared_ptr<serving_config const> config);

    /// Records that `version` was the newest version at some time after `asked_at`. Has
    /// no effect on the confirmation if that version is newer than the one in force here.
    void confirm(std::uint64_t version, time_point asked_at);

    /// The configuration in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<serving_config const> const& current() const
    {
        return config_;
    }
    [[nodiscard]] std::uint64_t version() const;
    /// The newest version that is known to exist. Greater than version() while that
    /// configuration is missing here.
    [[nodiscard]] std::uint64_t newest_known_version() const
    {
        return newest_known_version_;
    }
    void note_version(std::uint64_t version);
    /// Whether a newer version than the one in force is known to exist.
    [[nodiscard]] bool outdated() const { return newest_known_version_ > version(); }

    /// Time since the last confirmation.
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

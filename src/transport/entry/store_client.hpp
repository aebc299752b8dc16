#pragma once

#include "platform/store_codec.hpp"
#include "transport/entry/entry_services.hpp"

#include <optional>

namespace carawayturn::entry
{

struct store_reply
{
    unsigned status = 0;
    platform::store_answer answer;

    /// Whether the store did what it was asked.
    [[nodiscard]] bool done() const { return status == 200; }
    /// Whether a write was refused because a row had another version than expected; the
    /// answer has the row.
    [[nodiscard]] bool conflict() const { return status == 412; }
    /// Whether the changes that were asked for are no longer kept: the whole table has to
    /// be read.
    [[nodiscard]] bool history_gone() const { return status == 410; }
};

/// The only client of the platform's store. Follows whether the store answers.
class store_client
{
public:
    explicit store_client(entry_services& services) : services_(services) {}

    /// Makes one call; nothing if no answer arrived in time, after which the call may
    /// still be performed.
    [[nodiscard]] task<std::optional<store_reply>> call(platform::store_call request,
                                                        duration timeout);

    /// The hub told that the store answers it. What this instance knows of the store may
    /// be from a question in an outage that has passed.
    void hub_reported_answering();

    /// Whether the last call was answered, or the hub told so since.
    [[nodiscard]] bool answering() const { return answering_; }
    /// When the store last began to answer again.
    [[nodiscard]] time_point regained_at() const { return regained_at_; }

private:
    void record_call_result(bool answered, unsigned status);

    entry_services& services_;
    bool answering_ = true;
    time_point regained_at_{};
};

} // namespace carawayturn::entry

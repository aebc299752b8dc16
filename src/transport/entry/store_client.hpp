#pragma once

#include "coordination/entry/store_era.hpp"
#include "platform/store_codec.hpp"
#include "state/entry/store_version.hpp"
#include "transport/entry/entry_services.hpp"
#include "transport/entry/http_call.hpp"

#include <optional>
#include <string_view>

namespace carawayturn::entry
{

/// Status and decoded body of an answer of the store.
struct store_reply
{
    unsigned status = 0;
    platform::store_answer answer;
    /// The era of the store in which the call was answered; 0 if the store names none.
    std::uint64_t era = 0;
    /// The answer is too long or cannot be decoded, so `answer` is empty.
    bool unreadable = false;

    /// Whether the store performed the call.
    [[nodiscard]] bool done() const { return status == 200 && !unreadable; }
    /// Whether a write was refused because a row did not have the expected version. The
    /// answer contains the current row.
    [[nodiscard]] bool conflict() const { return status == 412 && !unreadable; }
    /// The newest version of any row as of the answer.
    [[nodiscard]] store_version version() const { return {era, answer.version}; }
    /// Whether the requested changes cannot be had, so that the whole table has to be
    /// read: the store no longer keeps them, or their rows are too long for one answer.
    [[nodiscard]] bool changes_unavailable() const
    {
        return status == 410 || (status == 200 && unreadable);
    }
};

/// Whether the result of a call tells that the store answers or is away. The calls for
/// streams have short limits and a part of the store of their own.
enum class outage_tracking : std::uint8_t
{
    on,
    off
};

/// The only client of the platform's store. Tracks whether the store answers, and in
/// which era. Every version that is kept of a row or a table is kept with its era, and is
/// compared with the answers of that era only.
class store_client
{
public:
    explicit store_client(entry_services& services) : services_(services) {}

    /// Makes one call. Returns nothing if no answer arrived in time, or one of a former
    /// era; the store may have performed the call, or may still perform it.
    [[nodiscard]] task<std::optional<store_reply>>
    call(platform::store_call request, duration timeout,
         outage_tracking tracking = outage_tracking::on);

    /// Records that the store answers the hub. The last call of this instance may have
    /// failed in an outage that is over.
    void hub_reported_answering();

    /// Whether the last call was answered, or the hub has since reported that the store
    /// answers.
    [[nodiscard]] bool answering() const { return answering_; }
    /// When the store last started to answer again after an outage, or came back from a
    /// copy.
    [[nodiscard]] time_point regained_at() const { return regained_at_; }

    /// The era of the newest answer; 0 if the store names none.
    [[nodiscard]] std::uint64_t era() const { return era_.current(); }
    /// What is known of the store's eras.
    [[nodiscard]] store_era const& eras() const { return era_; }
    /// Records the era of which another instance knows.
    void note_told_era(std::uint64_t era);

private:
    void record_call_result(bool answered, unsigned status);
    /// Returns whether the answer can be believed.
    [[nodiscard]] bool judge_era(call_answer const& answer);
    void log_restoration(std::uint64_t former_era, std::string_view source);

    entry_services& services_;
    store_era era_;
    /// Whether the last answer was rejected. Each run of rejected answers is logged once.
    bool rejecting_ = false;
    bool answering_ = true;
    time_point regained_at_{};
};

} // namespace carawayturn::entry

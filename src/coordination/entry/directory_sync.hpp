#pragma once

#include "state/entry/node_message.hpp"
#include "state/time.hpp"

namespace carawayturn::entry
{

/// Which state of the hub's directory an instance has, so that it is sent only what it
/// lacks. What the instance read from the store itself puts it out of step; from then on
/// only an update helps that brings it in step in reply to a later status. Answers the
/// load pattern "a slow instance reads itself for a moment": its late list would bring
/// back a server that the hub's update had removed before.
class directory_sync
{
public:
    /// The instance changed its directory by its own reading.
    void mark_local_change(time_point now)
    {
        hub_ = 0;
        revision_ = 0;
        local_change_at_ = now;
    }

    /// Whether the update may be applied; the instance is then in step with it.
    [[nodiscard]] bool accept(node_update const& update)
    {
        bool const answers_later_status =
            time_point(duration(update.echo_us)) >= local_change_at_;
        // An update before it may not have been applied, because the hub could not read.
        bool const follows =
            update.directory_hub == hub_ && update.directory_changes_after <= revision_;
        bool const usable = update.is_resync ? answers_later_status : follows;
        if (!usable)
            return false;
        hub_ = update.directory_hub;
        revision_ = update.directory_revision;
        return true;
    }

    /// The hub whose directory it has, or 0, and the revision.
    [[nodiscard]] std::uint64_t hub() const { return hub_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::uint64_t hub_ = 0;
    std::uint64_t revision_ = 0;
    time_point local_change_at_{};
};

} // namespace carawayturn::entry

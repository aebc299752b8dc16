#pragma once

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Decides whether a stream has ended although its last run sent no event.
///
/// Such a run says that the caller has all events, or that the stream has none. A server
/// in trouble may say the same by mistake, so the end counts only if a second server says
/// it of the same event.
class end_confirmation
{
public:
    /// Records that `server` ended its answer without an event after `last_id`, which is
    /// empty before the first event. Returns whether another server has ended after the
    /// same event before.
    [[nodiscard]] bool note_end(std::string_view server, std::string_view last_id);

private:
    std::string server_;
    std::string last_id_;
};

} // namespace carawayturn::entry

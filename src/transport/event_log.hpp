#pragma once

#include "state/log_catalogue.hpp"

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace carawayturn
{

/// Writes numbered events as JSON lines: time, number, name, level, subject, detail,
/// instance. Safe on any thread.
class event_log
{
public:
    /// Events below the least level are dropped. The stream must outlive the log.
    event_log(std::string instance, log_level least, std::ostream& out);
    ~event_log();
    event_log(event_log const&) = delete;
    event_log& operator=(event_log const&) = delete;

    /// Writes an event of the catalogue; a number outside it is written as an error.
    void write(std::uint16_t number, std::string_view subject, std::string_view detail);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Numbers of the events that the transport itself writes.
namespace log_number
{
inline constexpr std::uint16_t peer_message_rejected = 701;
inline constexpr std::uint16_t listening = 702;
inline constexpr std::uint16_t instance_list_unavailable = 703;
inline constexpr std::uint16_t backend_poll_failed = 704;
inline constexpr std::uint16_t admin_request = 705;
inline constexpr std::uint16_t answer_malformed = 706;
inline constexpr std::uint16_t process_started = 801;
inline constexpr std::uint16_t process_stopped = 803;
inline constexpr std::uint16_t start_failed = 805;
} // namespace log_number

} // namespace carawayturn

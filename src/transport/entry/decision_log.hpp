#pragma once

#include "state/entry/entry_event.hpp"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace carawayturn::entry
{

/// A field of a log line: its name and value.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double> value;
};

/// Writes numbered events as JSON lines to standard output. Lines are held in a bounded
/// buffer until flush(). Lines that do not fit are dropped and counted; no call blocks.
class decision_log
{
public:
    /// @param instance name of the instance, written with each line.
    explicit decision_log(std::string instance);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;

    /// Buffers a line for the event. Events that are not in the log catalogue are
    /// ignored.
    void write(entry_event event, std::initializer_list<log_field> fields);

    /// Writes as much of the buffer as standard output accepts without blocking.
    void flush();

    /// Number of lines dropped because the buffer was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn::entry

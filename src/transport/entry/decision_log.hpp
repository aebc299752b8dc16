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

/// A named value in a log line.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double> value;
};

/// Writes numbered events as JSON lines to standard output. Lines are kept in a bounded
/// buffer until flush(); what does not fit is dropped and counted, and nothing blocks.
class decision_log
{
public:
    /// @param instance written with each line.
    explicit decision_log(std::string instance);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;

    /// Adds a line for an event of the catalogue.
    void write(entry_event event, std::initializer_list<log_field> fields);

    /// Writes as much as standard output takes without blocking.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn::entry

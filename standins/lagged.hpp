#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace carawayturn::standins
{

/// History of a value that is shown as it was some time ago. Not thread-safe.
template <class Value>
class lagged
{
public:
    using clock = std::chrono::steady_clock;

    lagged(Value initial, std::chrono::milliseconds lag) : lag_(lag)
    {
        history_.emplace_back(clock::now() - lag, std::move(initial));
    }

    void record(Value value)
    {
        forget();
        history_.emplace_back(clock::now(), std::move(value));
    }

    /// The value as it is now.
    [[nodiscard]] Value const& current() const { return history_.back().second; }

    /// The value as it was one lag ago.
    [[nodiscard]] Value const& shown()
    {
        forget();
        return history_.front().second;
    }

private:
    void forget()
    {
        auto const shown_at = clock::now() - lag_;
        while (history_.size() > 1 && history_[1].first <= shown_at)
            history_.pop_front();
    }

    std::chrono::milliseconds lag_;
    std::deque<std::pair<clock::time_point, Value>> history_;
};

} // namespace carawayturn::standins

#pragma once

#include <algorithm>
#include <cstdint>

namespace carawayturn::detail
{

/// A token bucket whose reservations are upper bounds.
///
/// The level is a lower bound of the level of an ideal bucket, one that is charged only
/// what each request will have used. A settled reservation gives its remainder back, less
/// what the ideal bucket may have lost at its cap since the reservation. An optimistic
/// level, which charges requests in flight nothing, bounds that loss from above.
class token_bucket
{
public:
    /// Identifies the state of the bucket at which a reservation was taken.
    struct mark
    {
        std::uint64_t epoch = 0;
        double lost = 0;
    };

    [[nodiscard]] double level() const { return level_; }

    /// The most that the level can become without accrual: reservations in flight may be
    /// given back.
    [[nodiscard]] double unspent() const { return std::max(0.0, level_) + in_flight_; }

    /// Adds accrued tokens and applies the cap, which may differ from call to call.
    void credit(double accrued, double cap)
    {
        level_ = std::min(level_ + accrued, cap);
        optimistic_ += accrued;
        if (optimistic_ > cap)
        {
            lost_ += optimistic_ - cap;
            optimistic_ = cap;
        }
    }

    [[nodiscard]] mark reserve(double tokens)
    {
        level_ -= tokens;
        in_flight_ += tokens;
        return {epoch_, lost_};
    }

    /// Ends a reservation. Reservations from before forget() give nothing back.
    void settle(double reserved, double used, mark const& taken)
    {
        if (taken.epoch != epoch_)
        {
            return;
        }
        in_flight_ -= reserved;
        optimistic_ -= used;
        double const refund = std::max(0.0, reserved - used - (lost_ - taken.lost));
        level_ = std::max(level_ + refund, optimistic_ - in_flight_);
    }

    /// Moves tokens in from, or out to, another bucket of the same fleet-wide budget.
    void move_in(double tokens)
    {
        level_ += tokens;
        optimistic_ += tokens;
    }
    void move_out(double tokens) { move_in(-tokens); }

    /// Forgets all reservations in flight: they are charged in full.
    void forget()
    {
        ++epoch_;
        in_flight_ = 0;
        optimistic_ = level_;
    }

    void reset(double level)
    {
        level_ = level;
        forget();
    }

private:
    double level_ = 0;
    double optimistic_ = 0;
    double in_flight_ = 0;
    double lost_ = 0;
    std::uint64_t epoch_ = 0;
};

} // namespace carawayturn::detail

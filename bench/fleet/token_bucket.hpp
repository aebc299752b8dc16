#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <algorithm>

namespace carawayturn::bench
{

/// The ideal bucket that baselines use and that measures are checked against.
class token_bucket
{
public:
    token_bucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

    [[nodiscard]] double level(time_point now)
    {
        std::chrono::duration<double> const elapsed = now - refilled_;
        if (refilled_ != time_point{})
            level_ = std::min(burst_, level_ + elapsed.count() * rate_);
        refilled_ = now;
        return level_;
    }
    [[nodiscard]] bool take(time_point now, double tokens)
    {
        if (level(now) < tokens)
            return false;
        level_ -= tokens;
        return true;
    }
    /// Takes tokens even below zero; returns how far below.
    double charge(time_point now, double tokens)
    {
        level_ = level(now) - tokens;
        return std::max(0.0, -level_);
    }
    /// Takes tokens down to a debt of at most one burst; returns whether none is owed.
    bool charge_with_debt(time_point now, double tokens)
    {
        level_ = std::max(-burst_, level(now) - tokens);
        return level_ >= 0;
    }
    void give_back(double tokens) { level_ = std::min(burst_, level_ + tokens); }
    [[nodiscard]] duration time_until(time_point now, double tokens)
    {
        double const missing = tokens - level(now);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::max(0.0, missing / rate_)));
    }

private:
    double rate_;
    double burst_;
    double level_;
    time_point refilled_{};
};

} // namespace carawayturn::bench

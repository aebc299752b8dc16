// Compares absolute counters with deltas for budget grants, under message loss and
// duplication. An owner grants tokens of one organisation to members, which report what
// they spent. Prints `name value unit`, one measurement per line.
//
// Tokens over the bound: how far use falls below an ideal token bucket at worst.
// Wrongful refusals: requests refused while the ideal bucket held enough tokens.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr double rate = 1000;
constexpr double burst = 3000;
constexpr int members = 15;
constexpr int steps_per_second = 200;
constexpr int run_seconds = 120;
/// Loads as parts of the rate: the bound is tested above it, refusals count below it.
constexpr double overload = 2.0;
constexpr double load_within_rate = 0.9;
constexpr double mean_tokens = 50;
/// A short request is asked for again after this many steps, and refused after the limit.
constexpr int ask_again_steps = 4;
constexpr int wait_limit_steps = 2 * steps_per_second;
constexpr int seeds = 5;

enum class counters
{
    absolute,
    delta
};

struct message
{
    int at = 0;
    int member = 0;
    bool to_owner = false;
    /// Cumulative or added, by kind of counter.
    double granted = 0;
    double spent = 0;
    double wanted = 0;
    std::uint64_t clock = 0;
    friend bool operator<(message const& left, message const& right)
    {
        return left.at > right.at;
    }
};

struct member_state
{
    double granted = 0;
    double spent = 0;
    double reported = 0;
    std::uint64_t clock = 0;
    std::uint64_t seen_clock = 0;
    /// The request that waits: tokens, and steps waited.
    double waiting = 0;
    int waited = 0;
};

struct owner_record
{
    double granted = 0;
    double spent = 0;
    std::uint64_t clock = 0;
    std::uint64_t seen_clock = 0;
};

struct outcome
{
    double over_bound = 0;
    int requests = 0;
    int wrongful_refusals = 0;
};

class simulation
{
public:
    simulation(counters kind, double faults, double load, std::uint64_t seed)
        : kind_(kind), faults_(faults), load_(load), random_(seed)
    {
    }

    outcome run()
    {
        for (now_ = 0; now_ < run_seconds * steps_per_second; ++now_)
        {
            ideal_ = std::min(burst, ideal_ + rate / steps_per_second);
            accrue();
            while (!wire_.empty() && wire_.top().at <= now_)
            {
                message const next = wire_.top();
                wire_.pop();
                next.to_owner ? at_owner(next) : at_member(next);
            }
            for (int member = 0; member < members; ++member)
            {
                step_member(member);
            }
        }
        return result_;
    }

private:
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

    void send(message sent)
    {
        int copies = uniform() < faults_ ? 0 : 1;
        copies += uniform() < faults_ ? 1 : 0;
        for (; copies > 0; --copies)
        {
            sent.at = now_ + 1 + (uniform() < 0.5 ? 1 : 0);
            wire_.push(sent);
        }
    }

    void accrue()
    {
        double outstanding = 0;
        for (auto const& record : records_)
        {
            outstanding += std::max(0.0, record.granted - record.spent);
        }
        level_ = std::min(level_ + rate / steps_per_second,
                          std::max(0.0, burst - outstanding));
    }

    void step_member(int index)
    {
        member_state& member = states_.at(static_cast<std::size_t>(index));
        double const chance = load_ * rate / mean_tokens / members;
        if (member.waiting <= 0 && uniform() < chance / steps_per_second)
        {
            member.waiting = 1 + std::floor(2 * (mean_tokens - 1) * uniform());
            member.waited = 0;
            ++result_.requests;
        }
        if (member.waiting <= 0 || spend(member))
        {
            return;
        }
        if (member.waited++ % ask_again_steps == 0)
        {
            report(index, member);
        }
        if (member.waited > wait_limit_steps)
        {
            result_.wrongful_refusals += ideal_ >= member.waiting ? 1 : 0;
            member.waiting = 0;
        }
    }

    bool spend(member_state& member)
    {
        if (member.granted - member.spent < member.waiting)
        {
            return false;
        }
        member.spent += member.waiting;
        ideal_ -= member.waiting;
        result_.over_bound = std::max(result_.over_bound, -ideal_);
        member.waiting = 0;
        return true;
    }

    void report(int index, member_state& member)
    {
        message sent{0, index, true, 0, member.spent, member.waiting, ++member.clock};
        if (kind_ == counters::delta)
        {
            sent.wanted -= member.granted - member.spent;
            sent.spent = member.spent - member.reported;
            member.reported = member.spent;
        }
        send(sent);
    }

    void at_owner(message const& sent)
    {
        owner_record& record = records_.at(static_cast<std::size_t>(sent.member));
        if (kind_ == counters::delta)
        {
            record.spent += sent.spent;
            grant(sent.member, record, std::min(sent.wanted, available()));
            return;
        }
        if (sent.clock <= record.seen_clock)
        {
            return;
        }
        record.seen_clock = sent.clock;
        record.spent = sent.spent;
        // What was granted and not spent may have been lost: it is sent again, and only
        // the rest is new. The member spends its grants before it asks.
        double const unspent = record.granted - record.spent;
        double const missing = std::max(0.0, sent.wanted - unspent);
        grant(sent.member, record, std::min(missing, available()));
    }

    [[nodiscard]] double available() const { return std::floor(std::max(0.0, level_)); }

    void grant(int index, owner_record& record, double tokens)
    {
        level_ -= tokens;
        record.granted += tokens;
        message sent{0, index, false, record.granted, 0, 0, ++record.clock};
        if (kind_ == counters::delta)
        {
            sent.granted = tokens;
        }
        send(sent);
    }

    void at_member(message const& sent)
    {
        member_state& member = states_.at(static_cast<std::size_t>(sent.member));
        if (kind_ == counters::delta)
        {
            member.granted += sent.granted;
        }
        else if (sent.clock > member.seen_clock)
        {
            member.seen_clock = sent.clock;
            member.granted = sent.granted;
        }
    }

    counters kind_;
    double faults_;
    double load_;
    std::mt19937_64 random_;
    int now_ = 0;
    double ideal_ = burst;
    double level_ = burst;
    std::array<member_state, members> states_{};
    std::array<owner_record, members> records_{};
    std::priority_queue<message> wire_;
    outcome result_;
};

void measure(counters kind, std::string const& name, int percent)
{
    double over = 0;
    int requests = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        double const faults = percent / 100.0;
        over = std::max(over, simulation(kind, faults, overload, seed).run().over_bound);
        outcome const result = simulation(kind, faults, load_within_rate, seed).run();
        requests += result.requests;
        refused += result.wrongful_refusals;
    }
    std::string const tail = name + ".faults_" + std::to_string(percent);
    std::printf("budget_counters.over_bound.%s %.0f tokens\n", tail.c_str(), over);
    std::printf("budget_counters.wrongful_refusals.%s %.2f percent\n", tail.c_str(),
                100.0 * refused / std::max(1, requests));
}

} // namespace

int main()
{
    for (int const percent : {0, 1, 2, 5, 10, 20})
    {
        measure(counters::absolute, "absolute", percent);
        measure(counters::delta, "delta", percent);
    }
    return 0;
}

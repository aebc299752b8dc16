#include "fleet/measures.hpp"

#include "fleet/token_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace carawayturn::bench
{

namespace
{

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1];
}

std::vector<caller_record const*> by_arrival(fleet const& replayed)
{
    std::vector<caller_record const*> records;
    for (auto const& [id, record] : replayed.callers())
        records.push_back(&record);
    std::sort(records.begin(), records.end(),
              [](auto const* left, auto const* right)
              { return left->arrived < right->arrived; });
    return records;
}

/// One organisation's lot: what an ideal fleet-wide bucket would have let it have, and
/// what it got.
struct organisation_lot
{
    /// Admits what conforms and charges what the engine counts.
    token_bucket ideal;
    /// Charged with what ran, at its arrival, to find use over the bound.
    token_bucket charged;
    /// Charged with all that was offered, with a debt of at most one burst: while
    /// something is owed, the organisation is not inside its rate.
    token_bucket offered;
    double entitled_tokens = 0;
    double served_tokens = 0;
    std::uint64_t wrongly_over_rate = 0;
    std::uint64_t other_refusals = 0;
    double over_bound = 0;
    std::vector<double> waits;
};

token_count upper_bound(trace_request const& request)
{
    return request.model.empty() ? 1 : request.prompt_tokens + request.max_tokens;
}

token_count actual(trace_request const& request)
{
    return request.model.empty() ? 1 : request.prompt_tokens + request.output_tokens;
}

bool is_over_rate(caller_record const& record)
{
    return record.reason && record.reason->code == refusal_code::over_rate;
}

void count(organisation_lot& lot, caller_record const& record)
{
    auto const need = static_cast<double>(upper_bound(record.request));
    auto const use = static_cast<double>(actual(record.request));
    if (lot.ideal.level(record.arrived) >= need)
    {
        lot.ideal.charge(record.arrived, use);
        lot.entitled_tokens += use;
    }
    if (record.answer == answer_kind::served)
        lot.served_tokens += use;
    bool const inside = lot.offered.charge_with_debt(record.arrived, need);
    if (is_over_rate(record))
        lot.wrongly_over_rate += inside;
    else
        lot.other_refusals += record.answer == answer_kind::refused;
    if (record.executions > 0)
        lot.over_bound =
            std::max(lot.over_bound, lot.charged.charge(record.arrived, use));
    if (record.started)
        lot.waits.push_back(seconds(*record.started - record.arrived));
}

std::map<organisation_id, organisation_lot>
count_organisations(fleet const& replayed, fleet_config const& config)
{
    std::map<organisation_id, organisation_lot> lots;
    for (auto const& [id, organisation] : config.organisations)
    {
        token_bucket const bucket(organisation.rate,
                                  static_cast<double>(organisation.burst));
        lots.emplace(id, organisation_lot{bucket, bucket, bucket, 0, 0, 0, 0, 0, {}});
    }
    for (auto const* const record : by_arrival(replayed))
        count(lots.at(record->request.organisation), *record);
    return lots;
}

void add_cold_starts(fleet const& replayed, std::vector<measure>& out)
{
    std::vector<double> times;
    for (auto const& [id, record] : replayed.callers())
    {
        if (!record.cold)
            continue;
        // A cold request that was never started counts with the time it waited in vain.
        auto const end = record.started ? *record.started : record.answered;
        times.push_back(seconds(end - record.arrived));
    }
    out.push_back({"cold_starts", static_cast<double>(times.size()), "requests"});
    out.push_back({"cold_start_p50", percentile(times, 0.5), "s"});
    out.push_back({"cold_start_p99", percentile(times, 0.99), "s"});
    out.push_back({"cold_start_p999", percentile(times, 0.999), "s"});
}

void add_accelerators(fleet const& replayed, std::vector<measure>& out)
{
    duration loaded{0};
    duration busy{0};
    std::uint64_t loads = 0;
    std::uint64_t undecided = 0;
    double over_capacity = 0;
    for (auto const& engine : replayed.engines())
    {
        engine->account();
        loaded += engine->record().loaded_time;
        busy += engine->record().busy_time;
        loads += engine->record().loads;
        undecided += engine->record().undecided_loads;
        over_capacity =
            std::max(over_capacity, static_cast<double>(engine->record().most_used -
                                                        engine->chosen().capacity));
    }
    out.push_back({"idle_replica_hours", seconds(loaded - busy) / 3600, "h"});
    out.push_back({"loads", static_cast<double>(loads), "loads"});
    out.push_back({"undecided_loads", static_cast<double>(undecided), "loads"});
    out.push_back({"memory_over_capacity", std::max(0.0, over_capacity), "B"});
}

void add_answers(fleet const& replayed, std::vector<measure>& out)
{
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t served = 0;
    std::uint64_t late = 0;
    std::uint64_t repeated = 0;
    std::map<std::string, std::uint32_t> executions;
    for (auto const& [id, record] : replayed.callers())
    {
        served += record.answer == answer_kind::served;
        if (record.reason)
            ++refused[std::string(name_of(record.reason->code))];
        bool const in_time =
            record.answer != answer_kind::none &&
            (record.answer != answer_kind::refused ||
             record.answered <= record.arrived + record.request.deadline);
        late += !in_time;
    }
    for (auto const& engine : replayed.engines())
        for (auto const& [reference, times] : engine->record().executions_by_reference)
            executions[reference] += static_cast<std::uint32_t>(times.size());
    for (auto const& [reference, times] : executions)
        repeated += times > 1;
    out.push_back(
        {"requests", static_cast<double>(replayed.callers().size()), "requests"});
    out.push_back({"served", static_cast<double>(served), "requests"});
    for (auto const& [code, times] : refused)
        out.push_back({"refused_" + code, static_cast<double>(times), "requests"});
    out.push_back(
        {"neither_served_nor_refused_in_time", static_cast<double>(late), "requests"});
    out.push_back({"repeated_at_most_once", static_cast<double>(repeated), "requests"});
}

} // namespace

std::vector<measure> measure_replay(fleet& replayed, fleet_config const& config)
{
    std::vector<measure> out;
    add_cold_starts(replayed, out);
    add_accelerators(replayed, out);
    auto const lots = count_organisations(replayed, config);
    double worst = 1;
    double worst_wait = 0;
    double best_wait = 1e9;
    double over = 0;
    std::uint64_t wrong = 0;
    std::uint64_t other = 0;
    for (auto const& [id, lot] : lots)
    {
        out.push_back({"served_share." + id.str(),
                       lot.served_tokens / std::max(1.0, lot.entitled_tokens), "share"});
        if (lot.entitled_tokens > 0)
            worst = std::min(worst, lot.served_tokens / lot.entitled_tokens);
        worst_wait = std::max(worst_wait, percentile(lot.waits, 0.99));
        best_wait = std::min(best_wait, percentile(lot.waits, 0.99));
        over = std::max(over, lot.over_bound);
        wrong += lot.wrongly_over_rate;
        other += lot.other_refusals;
    }
    auto const requests = static_cast<double>(replayed.callers().size());
    out.push_back({"worst_organisation_served_share", worst, "share"});
    out.push_back({"worst_organisation_wait_p99", worst_wait, "s"});
    out.push_back({"best_organisation_wait_p99", best_wait, "s"});
    out.push_back({"tokens_over_bound", over, "tokens"});
    out.push_back({"wrongful_over_rate", static_cast<double>(wrong), "requests"});
    out.push_back({"refused_for_other_reasons", static_cast<double>(other), "requests"});
    out.push_back(
        {"wrongful_share", static_cast<double>(wrong + other) / requests, "share"});
    add_answers(replayed, out);
    return out;
}

void print(std::vector<measure> const& measures, std::string const& prefix)
{
    for (auto const& entry : measures)
        std::printf("%s%s %.6g %s\n", prefix.c_str(), entry.name.c_str(), entry.value,
                    entry.unit.c_str());
    std::fflush(stdout);
}

void write_json(std::vector<measure> const& measures, std::string const& path)
{
    std::ofstream out(path);
    out << "{";
    char const* separator = "\n";
    for (auto const& entry : measures)
    {
        out << separator << "  \"" << entry.name << "\": " << entry.value;
        separator = ",\n";
    }
    out << "\n}\n";
}

} // namespace carawayturn::bench

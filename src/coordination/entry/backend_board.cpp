#include "coordination/entry/backend_board.hpp"

#include "state/entry/directory_digest.hpp"
#include "state/entry/time_units.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// A told load this old says little; it is used with a weight that falls to zero.
constexpr duration told_validity = std::chrono::milliseconds(600);
/// Failures count half after this time.
constexpr double failure_half_life_s = 2.0;
/// One recent failure weighs as much as this part of the server's slots.
constexpr double failure_weight = 0.35;
/// Preference for a server in the own failure domain, in parts of its slots: bytes
/// between failure domains cost money.
constexpr double domain_weight = 0.02;
/// Preference for the runner that holds the shared parts of the prompt.
constexpr double affinity_weight = 0.10;
/// Differences below this do not matter; spreads requests over equal servers.
constexpr double jitter_weight = 0.04;
/// A server with more requests than this many times its slots takes nothing more.
constexpr double full_load = 3.0;

double decayed_failures(backend_load const& load, time_point now)
{
    double const age = to_seconds(now - load.failures_at);
    return load.failures * std::exp2(-age / failure_half_life_s);
}

bool has_model(backend_record const& record, model_key const& key, bool& adapter_held)
{
    for (auto const& held : record.models)
    {
        if (held.name != key.model)
            continue;
        adapter_held =
            key.adapter.empty() || std::find(held.adapters.begin(), held.adapters.end(),
                                             key.adapter) != held.adapters.end();
        return true;
    }
    return false;
}

/// Rendezvous weight in [0, 1) of a server for a shared prompt.
double affinity_of(std::uint64_t affinity, std::string const& id)
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(stable_hash(id, affinity) >> 11U) * scale;
}

} // namespace

model_key model_key::parse(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
        return {std::string(text), {}};
    return {std::string(text.substr(0, slash)), std::string(text.substr(slash + 1))};
}

std::string model_key::str() const
{
    return adapter.empty() ? model : model + "/" + adapter;
}

backend_board::backend_board(std::string own_failure_domain, std::uint64_t seed)
    : own_domain_(std::move(own_failure_domain)), random_state_(seed | 1U)
{
}

void backend_board::put(backend_record record)
{
    auto const found = records_.find(record.id);
    if (found != records_.end() && found->second.born_ms != record.born_ms)
    {
        auto const own = loads_[record.id].own;
        loads_[record.id] = {};
        loads_[record.id].own = own;
    }
    if (found == records_.end())
        ids_ += id_hash(record.id);
    auto const id = record.id;
    records_[id] = std::move(record);
}

void backend_board::remove(std::string const& id)
{
    if (records_.erase(id) != 0)
        ids_ -= id_hash(id);
    avoided_.erase(id);
    words_.remove(id);
    auto const load = loads_.find(id);
    if (load != loads_.end() && load->second.own == 0)
        loads_.erase(load);
}

backend_record const* backend_board::find(std::string const& id) const
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

double backend_board::jitter()
{
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    return static_cast<double>(random_state_ % 1000) / 1000.0;
}

bool backend_board::avoided(std::string const& id, std::string const& key, time_point now)
{
    auto const server = avoided_.find(id);
    if (server != avoided_.end())
    {
        if (server->second > now)
            return true;
        avoided_.erase(server);
    }
    auto const model = avoided_models_.find({id, key});
    if (model == avoided_models_.end())
        return false;
    if (model->second > now)
        return true;
    avoided_models_.erase(model);
    return false;
}

double backend_board::load_of(backend_record const& record, backend_load const& load,
                              time_point now) const
{
    double requests = load.own + load.others;
    auto const age = now - load.told_at;
    if (load.told_at != time_point{} && age < told_validity)
        requests = std::max(requests, static_cast<double>(load.told));
    return requests / std::max(record.slots, 1U);
}

backend_choice backend_board::choose(backend_wish const& wish, time_point now)
{
    bool any = false;
    bool any_model = false;
    bool any_held = false;
    bool any_passed_over = false;
    std::optional<time_point> free_at;
    candidate best;
    auto const key = wish.model.str();
    for (auto const& [id, record] : records_)
    {
        if (record.service != wish.service || record.draining || words_.leaving(record))
            continue;
        any = true;
        bool adapter_held = true;
        if (!wish.model.model.empty() && !has_model(record, wish.model, adapter_held))
            continue;
        any_model = true;
        if (!adapter_held)
            continue;
        any_held = true;
        if (wish.excluded.count(id) != 0 || avoided(id, key, now) ||
            (!wish.model.adapter.empty() && avoided(id, wish.model.model, now)))
        {
            any_passed_over = true;
            continue;
        }
        auto const& own_load = loads_[id];
        if (!words_.takes(record, own_load.own, now))
        {
            // One that is over its pause takes more with its next answer.
            auto const until = words_.paused_until(record, now).value_or(now);
            free_at = std::min(free_at.value_or(until), until);
            continue;
        }
        double const load = load_of(record, own_load, now);
        double score = load + failure_weight * decayed_failures(own_load, now);
        score += jitter_weight * jitter();
        if (record.failure_domain != own_domain_)
            score += domain_weight;
        if (wish.affinity != 0)
            score -= affinity_weight * affinity_of(wish.affinity, id);
        if (best.record == nullptr || score < best.score)
            best = {&record, score, load};
    }
    if (best.record == nullptr)
    {
        if (!any)
            return {choice_outcome::no_backend, nullptr, 0};
        if (!any_model)
            return {choice_outcome::model_absent, nullptr, 0};
        if (!any_held)
            return {choice_outcome::adapter_absent, nullptr, 0};
        if (free_at && !any_passed_over)
            return {choice_outcome::paused, nullptr, 0, *free_at};
        return {choice_outcome::full, nullptr, 0};
    }
    auto const outcome =
        best.load >= full_load ? choice_outcome::full : choice_outcome::chosen;
    return {outcome, best.record, best.load};
}

void backend_board::sent(std::string const& id)
{
    ++loads_[id].own;
}

void backend_board::finished(std::string const& id)
{
    auto& load = loads_[id];
    if (load.own > 0)
        --load.own;
    if (load.own == 0 && records_.count(id) == 0)
        loads_.erase(id);
}

void backend_board::failed(std::string const& id, time_point now)
{
    auto& load = loads_[id];
    load.failures = decayed_failures(load, now) + 1;
    load.failures_at = now;
}

void backend_board::succeeded(std::string const& id, time_point now)
{
    auto& load = loads_[id];
    load.failures = decayed_failures(load, now) * 0.9;
    load.failures_at = now;
}

void backend_board::load_told(std::string const& id, std::uint32_t requests,
                              time_point now)
{
    auto& load = loads_[id];
    load.told = requests;
    load.told_at = now;
}

void backend_board::others_told(std::string const& id, std::uint32_t requests)
{
    loads_[id].others = requests;
}

void backend_board::others_told(fleet_loads const* loads)
{
    bool const usable = loads != nullptr && loads->directory_id_sum == ids_ &&
                        loads->requests.size() == records_.size();
    std::size_t place = 0;
    for (auto const& [id, record] : records_)
        loads_[id].others = usable ? loads->requests[place++] : 0;
}

void backend_board::avoid_model(std::string const& id, std::string const& key,
                                time_point until)
{
    avoided_models_[{id, key}] = until;
}

void backend_board::avoid(std::string const& id, time_point until)
{
    avoided_[id] = until;
}

bool backend_board::leaves(std::string const& id, std::int64_t born_ms)
{
    return words_.leaves(id, born_ms);
}

void backend_board::pauses(std::string const& id, std::int64_t born_ms, duration pause,
                           time_point now)
{
    words_.pauses(id, born_ms, pause, loads_[id].own, now);
}

bool backend_board::may_send(backend_record const& record, time_point now) const
{
    return !words_.leaving(record) && !words_.paused_until(record, now);
}

std::vector<leaving_server> backend_board::leaving_untold() const
{
    std::vector<leaving_server> untold;
    for (auto const& [id, born_ms] : words_.all_leaving())
        if (auto const* const record = find(id);
            record != nullptr && record->born_ms == born_ms && !record->draining)
            untold.push_back({id, born_ms});
    return untold;
}

backend_load const& backend_board::load(std::string const& id)
{
    return loads_[id];
}

} // namespace carawayturn::entry

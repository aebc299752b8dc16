#include "coordination/entry/backend_selector.hpp"

#include "state/entry/directory_digest.hpp"
#include "state/entry/time_units.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace carawayturn::entry
{

namespace
{

/// A load that a server reported is ignored after this time, because it says little about
/// the present load.
constexpr duration reported_load_validity = std::chrono::milliseconds(600);
/// A report that is not older than this is fresher than the counts of other instances'
/// requests.
constexpr duration fresh_report_age = std::chrono::milliseconds(250);
/// Part of a server's slots that this instance uses until it learns of the others'
/// requests there. Without this bound, each instance filled the server at the same time.
constexpr double probe_share = 0.5;
/// Half-life of the decaying failure count of a server.
constexpr double failure_half_life_s = 2.0;
/// One recent failure counts as much as this fraction of the server's slots in use.
constexpr double failure_weight = 0.35;
/// Penalty for a server in another failure domain, as a fraction of its slots: traffic
/// between failure domains costs money.
constexpr double domain_weight = 0.02;
/// Largest preference for the runner that already holds the shared parts of the prompt,
/// as a fraction of its slots.
constexpr double affinity_weight = 0.10;
/// Size of the random part of a score. Smaller differences do not matter, and requests
/// spread over equally loaded servers.
constexpr double jitter_weight = 0.04;
/// A server is full when it has at least this many times as many requests as slots.
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

/// Rendezvous hashing weight, in [0, 1), of a server for a shared prompt.
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

backend_selector::backend_selector(std::string own_failure_domain, std::uint64_t seed)
    : own_domain_(std::move(own_failure_domain)), random_state_(seed | 1U), cold_(seed)
{
}

void backend_selector::put(backend_record record)
{
    auto const found = records_.find(record.id);
    if (found != records_.end() && found->second.born_ms != record.born_ms)
    {
        auto const own = loads_[record.id].own;
        loads_[record.id] = {};
        loads_[record.id].own = own;
    }
    if (found == records_.end())
        id_hash_sum_ += id_hash(record.id);
    auto const id = record.id;
    records_[id] = std::move(record);
}

void backend_selector::remove(std::string const& id)
{
    if (records_.erase(id) != 0)
        id_hash_sum_ -= id_hash(id);
    avoided_.erase(id);
    availability_.remove(id);
    auto const load = loads_.find(id);
    if (load != loads_.end() && load->second.own == 0)
        loads_.erase(load);
}

backend_record const* backend_selector::find(std::string const& id) const
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

double backend_selector::jitter()
{
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    return static_cast<double>(random_state_ % 1000) / 1000.0;
}

bool backend_selector::is_avoided(std::string const& id, std::string const& key,
                                  time_point now)
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

double backend_selector::requests_at(backend_load const& load, time_point now)
{
    double const counted = load.own + load.others;
    auto const age = now - load.reported_at;
    if (load.reported_at == time_point{} || age >= reported_load_validity)
        return counted;
    double reported = load.reported;
    if (!load.own_at_report)
        return std::max(counted, reported);
    // What this instance sent since the report adds to it, and what ended is deducted.
    reported += static_cast<double>(load.own) - *load.own_at_report;
    // The hub's counts of others' requests are up to 700 ms old, so a fresher report
    // replaces them.
    auto const floor = age < fresh_report_age ? static_cast<double>(load.own) : counted;
    return std::max(floor, reported);
}

bool backend_selector::is_probed(backend_load const& load, double slots, time_point now)
{
    bool const reported = load.reported_at != time_point{} &&
                          now - load.reported_at < reported_load_validity;
    return !load.others_known && !reported &&
           load.own >= std::max(slots * probe_share, 1.0);
}

backend_choice backend_selector::choose(backend_requirements const& requirements,
                                        time_point now)
{
    bool any_of_service = false;
    bool any_of_version = false;
    // A server of another version holds the model, so it is not loaded elsewhere.
    bool held_elsewhere = false;
    bool any_with_model = false;
    bool any_with_adapter = false;
    bool any_avoided = false;
    std::optional<time_point> pause_ends_at;
    candidate best;
    // The best of the cold servers for which this instance has no slot.
    candidate best_cold;
    double capacity = 0;
    bool const has_queue = paced_.contains(std::string(requirements.service), now);
    double const limit = has_queue ? requirements.queue_limit : full_load;
    auto const key = requirements.model.str();
    for (auto const& [id, record] : records_)
    {
        if (record.service != requirements.service || record.draining ||
            availability_.is_leaving(record) ||
            evacuations_.contains(record.failure_domain))
            continue;
        any_of_service = true;
        bool adapter_held = true;
        bool const model_held = requirements.model.model.empty() ||
                                has_model(record, requirements.model, adapter_held);
        if (!requirements.version.empty() &&
            record.software_version != requirements.version)
        {
            held_elsewhere = held_elsewhere || (model_held && adapter_held);
            continue;
        }
        any_of_version = true;
        if (!model_held)
            continue;
        any_with_model = true;
        if (!adapter_held)
            continue;
        any_with_adapter = true;
        if (requirements.excluded.count(id) != 0 || is_avoided(id, key, now) ||
            (!requirements.model.adapter.empty() &&
             is_avoided(id, requirements.model.model, now)))
        {
            any_avoided = true;
            continue;
        }
        auto const& own_load = loads_[id];
        if (!availability_.accepts(record, own_load.own, now))
        {
            // A server whose pause has ended but which is at its limit accepts another
            // request after its next answer, so it counts as available from now on.
            auto const until = availability_.paused_until(record, now).value_or(now);
            pause_ends_at = std::min(pause_ends_at.value_or(until), until);
            continue;
        }
        double const slots = std::max(record.slots, 1U);
        double const requests = requests_at(own_load, now);
        double const load = requests / slots;
        double score = load + failure_weight * decayed_failures(own_load, now);
        // The request itself counts too, or a slow idle server would come before a fast
        // one with some work.
        double const pace = own_load.pace.at(now);
        score += (pace - 1) * (requests + 1) / slots;
        score += jitter_weight * jitter();
        if (record.failure_domain != own_domain_)
            score += domain_weight;
        if (requirements.affinity != 0)
            score -= affinity_weight * affinity_of(requirements.affinity, id);
        auto const usable_at = cold_.usable_at(record, now);
        if (usable_at > now)
        {
            pause_ends_at = std::min(pause_ends_at.value_or(usable_at), usable_at);
            if (best_cold.record == nullptr || score < best_cold.score)
                best_cold = {&record, score, load};
            continue;
        }
        capacity += slots / pace;
        score += cold_.penalty(record, now);
        // A server with room comes before a faster one without.
        bool const full = has_queue && (load >= limit || is_probed(own_load, slots, now));
        if (best.record == nullptr ||
            std::tie(full, score) < std::tie(best.full, best.score))
            best = {&record, score, load, full, pace};
    }
    bool const lacks_slot = best_cold.record != nullptr;
    if (lacks_slot && (best.record == nullptr || best_cold.score < best.score))
        cold_.note_wanted(best_cold.record->id, now);
    if (best.record == nullptr)
    {
        if (!any_of_service)
            return {choice_outcome::no_backend, nullptr, 0};
        if (!any_of_version || (held_elsewhere && !any_with_adapter))
            return {choice_outcome::version_absent, nullptr, 0};
        if (!any_with_model)
            return {choice_outcome::model_absent, nullptr, 0};
        if (!any_with_adapter)
            return {choice_outcome::adapter_absent, nullptr, 0};
        if (pause_ends_at && !any_avoided)
            return {.outcome = choice_outcome::paused,
                    .pause_ends_at = *pause_ends_at,
                    .lacks_slot = lacks_slot,
                    .has_queue = has_queue};
        return {choice_outcome::full, nullptr, 0};
    }
    auto const outcome =
        best.full || best.load >= limit ? choice_outcome::full : choice_outcome::chosen;
    return {.outcome = outcome,
            .backend = best.record,
            .load = best.load,
            .has_queue = has_queue,
            .capacity = capacity,
            .pace = best.pace};
}

void backend_selector::note_sent(std::string const& id)
{
    ++loads_[id].own;
}

void backend_selector::note_finished(std::string const& id)
{
    auto& load = loads_[id];
    if (load.own > 0)
        --load.own;
    if (load.own == 0 && records_.count(id) == 0)
        loads_.erase(id);
}

void backend_selector::note_failure(std::string const& id, time_point now)
{
    auto& load = loads_[id];
    load.failures = decayed_failures(load, now) + 1;
    load.failures_at = now;
}

void backend_selector::note_success(std::string const& id, time_point now)
{
    auto& load = loads_[id];
    load.failures = decayed_failures(load, now) * 0.9;
    load.failures_at = now;
}

void backend_selector::set_reported_load(std::string const& id,
                                         server_load const& reported, time_point now)
{
    auto& load = loads_[id];
    load.reported = reported.requests();
    load.reported_at = now;
    load.own_at_report.reset();
    if (!reported.pace)
        return;
    load.own_at_report = load.own;
    load.pace.report(*reported.pace, now);
    if (auto const* const record = find(id))
        paced_.report(record->service, now);
}

void backend_selector::set_other_requests(std::string const& id, std::uint32_t requests)
{
    auto& load = loads_[id];
    load.others = requests;
    load.others_known = true;
}

void backend_selector::set_other_requests(fleet_loads const* loads)
{
    bool const usable = loads != nullptr && loads->directory_id_sum == id_hash_sum_ &&
                        loads->requests.size() == records_.size();
    std::size_t place = 0;
    for (auto const& [id, record] : records_)
    {
        auto& load = loads_[id];
        load.others = usable ? loads->requests[place++] : 0;
        load.others_known = usable;
    }
}

void backend_selector::avoid_model(std::string const& id, std::string const& key,
                                   time_point until)
{
    avoided_models_[{id, key}] = until;
}

void backend_selector::avoid(std::string const& id, time_point until)
{
    avoided_[id] = until;
}

bool backend_selector::note_leaving(std::string const& id, std::int64_t born_ms)
{
    return availability_.note_leaving(id, born_ms);
}

void backend_selector::note_pause(std::string const& id, std::int64_t born_ms,
                                  duration pause, time_point now)
{
    availability_.note_pause(id, born_ms, pause, loads_[id].own, now);
}

bool backend_selector::is_leaving(std::string const& id) const
{
    auto const* const record = find(id);
    return record == nullptr || record->draining || availability_.is_leaving(*record);
}

bool backend_selector::is_evacuated(std::string const& id) const
{
    auto const* const record = find(id);
    return record != nullptr && evacuations_.contains(record->failure_domain);
}

bool backend_selector::may_send(backend_record const& record, time_point now) const
{
    return !availability_.is_leaving(record) &&
           !availability_.paused_until(record, now) &&
           !evacuations_.contains(record.failure_domain) &&
           !evacuations_.must_refresh(now);
}

void backend_selector::note_evacuation_ended(std::string const& domain, time_point now)
{
    for (auto const& [id, record] : records_)
        if (record.failure_domain == domain)
            cold_.note_evacuation_ended(record, now);
}

std::vector<leaving_server> backend_selector::unreported_leaving() const
{
    std::vector<leaving_server> unreported;
    for (auto const& [id, born_ms] : availability_.all_leaving())
        if (auto const* const record = find(id);
            record != nullptr && record->born_ms == born_ms && !record->draining)
            unreported.push_back({id, born_ms});
    return unreported;
}

backend_load const& backend_selector::load(std::string const& id)
{
    return loads_[id];
}

double backend_selector::used_slots(std::string_view service, time_point now)
{
    double requests = 0;
    double slots = 0;
    for (auto const& [id, record] : records_)
    {
        if (record.service != service || record.draining ||
            availability_.is_leaving(record) ||
            evacuations_.contains(record.failure_domain))
            continue;
        requests += requests_at(loads_[id], now);
        slots += record.slots;
    }
    return slots > 0 ? requests / slots : 1;
}

double backend_selector::requests_at(std::string const& id, time_point now)
{
    return requests_at(loads_[id], now);
}

} // namespace carawayturn::entry

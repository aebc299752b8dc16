#include "fleet/baseline_driver.hpp"

#include "fleet/token_bucket.hpp"
#include "state/hash.hpp"

#include <algorithm>
#include <deque>

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr duration keep_alive = 10min;
constexpr duration retry_load_after = 1s;

using buckets = std::map<organisation_id, token_bucket>;

buckets make_buckets(fleet_config const& config, double parts)
{
    buckets made;
    for (auto const& [id, organisation] : config.organisations)
        made.emplace(id, token_bucket(organisation.rate / parts,
                                      static_cast<double>(organisation.burst) / parts));
    return made;
}

struct goal
{
    model_id model;
    adapter_id adapter;
    friend auto operator<=>(goal const&, goal const&) = default;
};

class baseline_instance final : public instance_driver
{
public:
    baseline_instance(instance_id id, fleet_config const& config,
                      std::shared_ptr<buckets> limits)
        : id_(std::move(id)), config_(config), limits_(std::move(limits))
    {
    }

    actions handle(time_point now, event const& input) override
    {
        actions out;
        now_ = now;
        std::visit([&](auto const& specific) { on(specific, out); }, input);
        serve(out);
        return out;
    }
    [[nodiscard]] bool may_send_order(time_point, engine_order const&) const override
    {
        return true;
    }
    [[nodiscard]] config_version config_in_force() const override { return 1; }

private:
    struct waiting_request
    {
        caller_request request;
        goal wanted;
        time_point deadline;
        token_count tokens = 0;
        organisation_id organisation;
        std::uint32_t attempt = 0;
        backend_id backend;
    };
    struct own_load
    {
        backend_id backend;
        time_point retry_at{};
        bool in_flight = false;
        time_point last_used{};
    };

    template <class Other>
    void on(Other const&, actions&)
    {
    }

    void on(tick const&, actions& out)
    {
        if (!ready_)
        {
            ready_ = true;
            out.push_back(set_ready{true});
        }
        refuse_late(out);
        unload_idle(out);
    }

    void on(report_received const& input, actions&)
    {
        reports_[input.report.backend] = input.report;
        in_flight_since_[input.report.backend] = 0;
    }

    void on(backend_unreachable const& input, actions&) { reports_.erase(input.backend); }

    void on(request_arrived const& input, actions& out)
    {
        waiting_request entry;
        entry.request = input.request;
        auto const owner =
            find_organisation(config_, input.request.key.value_or(digest()));
        auto const* const route = find_route(config_, input.request.path);
        if (!owner || route == nullptr)
        {
            refuse(input.request.id, refusal_code::key_unknown, {}, out);
            return;
        }
        entry.organisation = *owner;
        bool const plain = config_.pools.at(route->pool).kind == pool_kind::plain;
        entry.tokens = plain ? route->request_tokens
                             : input.request.prompt_tokens + input.request.max_tokens;
        entry.deadline =
            now_ + input.request.time_limit.value_or(route->default_deadline);
        entry.wanted.model = model_id(input.request.model);
        if (auto const adapter = config_.adapters.find(adapter_id(input.request.model));
            adapter != config_.adapters.end())
            entry.wanted = {adapter->second.model, adapter->first};
        auto& bucket = limits_->at(*owner);
        if (!bucket.take(now_, static_cast<double>(entry.tokens)))
        {
            refuse(input.request.id, refusal_code::over_rate,
                   bucket.time_until(now_, static_cast<double>(entry.tokens)), out);
            return;
        }
        waiting_.push_back(std::move(entry));
    }

    void on(dispatch_ended const& input, actions& out)
    {
        auto const found = running_.find(input.request);
        if (found == running_.end())
            return;
        auto entry = std::move(found->second);
        running_.erase(found);
        if (input.outcome == dispatch_outcome::completed)
        {
            limits_->at(entry.organisation)
                .give_back(
                    static_cast<double>(entry.tokens - input.tokens_used.value_or(0)));
            return;
        }
        if (input.outcome == dispatch_outcome::rejected)
            reports_[entry.backend].loaded.clear();
        if (input.outcome == dispatch_outcome::broken && entry.request.idempotency_key)
            refuse(entry.request.id, refusal_code::backend_failed, {}, out);
        else
            waiting_.push_front(std::move(entry));
    }

    void on(order_answered const& input, actions&)
    {
        auto const found =
            loads_.find({input.order.item.model, input.order.item.adapter});
        if (found == loads_.end() || input.order.action == order_action::unload)
            return;
        found->second.in_flight = false;
        bool const loaded =
            input.outcome == order_result::done || input.outcome == order_result::already;
        if (loaded)
            reports_[input.order.backend].loaded.push_back(input.order.item);
        else
            found->second.retry_at = now_ + retry_load_after;
    }

    void serve(actions& out)
    {
        std::deque<waiting_request> still;
        for (auto& entry : waiting_)
        {
            auto const target = least_loaded(entry.wanted);
            if (!target)
            {
                start_load(entry.wanted, out);
                still.push_back(std::move(entry));
                continue;
            }
            ++entry.attempt;
            entry.backend = *target;
            ++in_flight_since_[*target];
            loads_[entry.wanted].last_used = now_;
            loads_[{entry.wanted.model, {}}].last_used = now_;
            out.push_back(
                dispatch_request{entry.request.id, entry.attempt, *target, 0, 10, false});
            running_[entry.request.id] = std::move(entry);
        }
        waiting_ = std::move(still);
    }

    [[nodiscard]] std::uint32_t load_of(backend_report const& report) const
    {
        auto const own = in_flight_since_.find(report.backend);
        return report.running + report.waiting +
               (own == in_flight_since_.end() ? 0 : own->second);
    }

    [[nodiscard]] static bool holds(backend_report const& report, goal const& wanted)
    {
        return std::any_of(report.loaded.begin(), report.loaded.end(),
                           [&](auto const& item) {
                               return item.model == wanted.model &&
                                      item.adapter == wanted.adapter;
                           });
    }

    [[nodiscard]] std::optional<backend_id> least_loaded(goal const& wanted) const
    {
        backend_report const* best = nullptr;
        for (auto const& [id, report] : reports_)
        {
            bool const fits = wanted.model.empty()
                                  ? report.capacity_bytes == 0 && report.role == "plain"
                                  : holds(report, wanted);
            if (fits && (best == nullptr || load_of(report) < load_of(*best)))
                best = &report;
        }
        return best == nullptr ? std::nullopt : std::optional(best->backend);
    }

    void start_load(goal const& wanted, actions& out)
    {
        if (wanted.model.empty())
            return;
        auto& load = loads_[wanted];
        if (load.in_flight || now_ < load.retry_at)
            return;
        bool const adapter = !wanted.adapter.empty();
        auto const base = least_loaded({wanted.model, {}});
        if (adapter && !base)
        {
            start_load({wanted.model, {}}, out);
            return;
        }
        loaded_item item{wanted.model, wanted.adapter, "1",
                         adapter ? config_.adapters.at(wanted.adapter).bytes
                                 : config_.models.at(wanted.model).bytes};
        auto const target = adapter ? base : runner_with_room(item.bytes, out);
        if (!target)
            return;
        load.in_flight = true;
        load.backend = *target;
        load.last_used = now_;
        send(*target, adapter ? order_action::load_adapter : order_action::load, item,
             out);
    }

    [[nodiscard]] std::optional<backend_id> runner_with_room(byte_count bytes,
                                                             actions& out)
    {
        backend_report* best = nullptr;
        for (auto& [id, report] : reports_)
        {
            if (report.capacity_bytes - report.used_bytes >= bytes &&
                (best == nullptr || load_of(report) < load_of(*best)))
                best = &report;
        }
        if (best == nullptr)
        {
            evict_oldest(out);
            return std::nullopt;
        }
        best->used_bytes += bytes;
        return best->backend;
    }

    /// Unloads the model that this instance has not used for longest at a runner without
    /// work.
    void evict_oldest(actions& out)
    {
        backend_report* from = nullptr;
        loaded_item const* oldest = nullptr;
        time_point oldest_use = time_point::max();
        for (auto& [id, report] : reports_)
        {
            if (report.capacity_bytes == 0 || report.running > 0)
                continue;
            for (auto const& item : report.loaded)
            {
                auto const known = loads_.find({item.model, {}});
                auto const used =
                    known == loads_.end() ? time_point{} : known->second.last_used;
                if (item.adapter.empty() && used < oldest_use)
                {
                    oldest_use = used;
                    oldest = &item;
                    from = &report;
                }
            }
        }
        if (oldest != nullptr)
            unload(*from, loaded_item(*oldest), out);
    }

    void unload(backend_report& report, loaded_item const& item, actions& out)
    {
        send(report.backend, order_action::unload, item, out);
        report.used_bytes -= item.bytes;
        std::erase_if(report.loaded,
                      [&](auto const& other) { return other.model == item.model; });
    }

    void unload_idle(actions& out)
    {
        for (auto& [wanted, load] : loads_)
        {
            if (!wanted.adapter.empty() || load.in_flight || load.backend.empty() ||
                now_ - load.last_used < keep_alive)
                continue;
            auto const report = reports_.find(load.backend);
            if (report == reports_.end() || report->second.running > 0)
                continue;
            for (auto const& item : std::vector(report->second.loaded))
            {
                if (item.model == wanted.model && item.adapter.empty())
                    unload(report->second, item, out);
            }
            load.backend = backend_id();
        }
    }

    void send(backend_id const& backend, order_action action, loaded_item const& item,
              actions& out)
    {
        engine_order order;
        order.decision = decision_id(id_.str() + "-" + std::to_string(next_order_++));
        order.backend = backend;
        order.action = action;
        order.item = item;
        out.push_back(send_order{order});
    }

    void refuse_late(actions& out)
    {
        std::deque<waiting_request> still;
        for (auto& entry : waiting_)
        {
            if (now_ >= entry.deadline)
            {
                limits_->at(entry.organisation)
                    .give_back(static_cast<double>(entry.tokens));
                refuse(entry.request.id, refusal_code::deadline_passed, {}, out);
            }
            else
            {
                still.push_back(std::move(entry));
            }
        }
        waiting_ = std::move(still);
    }

    static void refuse(request_id const& id, refusal_code code,
                       std::optional<duration> retry, actions& out)
    {
        refusal reason;
        reason.code = code;
        reason.retry_after = retry;
        out.push_back(refuse_request{id, reason});
    }

    instance_id id_;
    fleet_config const& config_;
    std::shared_ptr<buckets> limits_;
    time_point now_{};
    bool ready_ = false;
    std::map<backend_id, backend_report> reports_;
    std::map<backend_id, std::uint32_t> in_flight_since_;
    std::map<goal, own_load> loads_;
    std::deque<waiting_request> waiting_;
    std::map<request_id, waiting_request> running_;
    std::uint64_t next_order_ = 0;
};

} // namespace

driver_factory baseline_drivers(deployment const& shape, fleet_config const& config,
                                bool shared_limits)
{
    std::shared_ptr<buckets> shared;
    if (shared_limits)
        shared = std::make_shared<buckets>(make_buckets(config, 1));
    return [&config, shared, parts = shape.instances](
               node_start const& start) -> std::unique_ptr<instance_driver>
    {
        auto limits =
            shared ? shared : std::make_shared<buckets>(make_buckets(config, parts));
        return std::make_unique<baseline_instance>(start.id, config, limits);
    };
}

} // namespace carawayturn::bench

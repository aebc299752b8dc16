#include "entry/lease_model.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry::lease_model
{

namespace
{

/// The values that entry_node passes to hub_lease and order_authorization.
constexpr duration term = milliseconds(2400);
constexpr duration order_margin = milliseconds(200);
constexpr duration max_arrival_delay = term;
constexpr duration lease_ms = service_bounds().order_lease;

/// Delay of an order below which it must arrive before the orders of the next holder. The
/// last order is sent 0.2 s before the holder's lease ends, which is 0.3 s before the end
/// of the term, and other instances claim 0.3 s after the term.
constexpr duration max_safe_delay = milliseconds(800);
/// The same limit where instances receive the row from its holder. The holder states the
/// time until the end of its own lease, and other instances claim 0.3 s after that.
constexpr duration max_safe_delay_told_rows = milliseconds(500);

constexpr std::size_t max_open_calls = 2;
constexpr std::size_t max_orders_in_flight = 2;

/// Calls `use` with a real order_authorization of a process. An order_authorization
/// refers to its lease and cannot be copied with the state, so a new one is brought to
/// the same state.
template <typename Use>
auto with_authorization(process const& of, Use use)
{
    hub_lease lease = of.lease;
    order_authorization authorization(lease, order_margin, max_arrival_delay);
    auto const set_lease = [&](std::uint64_t fence, time_point at)
    {
        auto row = of.lease.next_row(at);
        row.fence = fence;
        lease.record_write(row, {0, 1}, at);
    };
    if (of.unanswered)
    {
        set_lease(0, *of.unanswered);
        auto permit = authorization.issue_permit(*of.unanswered);
        (void)permit->try_mark_sent(*of.unanswered);
    }
    std::optional<order_authorization::permit> permit;
    if (of.order)
    {
        set_lease(of.order->fence, of.order->prepared_at);
        if (auto taken = authorization.issue_permit(of.order->prepared_at))
            permit.emplace(std::move(*taken));
        set_lease(of.order->fence, of.order->sent_at);
        if (of.order->sent)
            (void)permit->try_mark_sent(of.order->sent_at);
    }
    lease = of.lease;
    if (of.terminating)
        authorization.revoke();
    return use(authorization, permit);
}

bool allows_orders(process const& of, duration margin, time_point now)
{
    order_authorization authorization(of.lease, margin, max_arrival_delay);
    if (of.terminating)
        authorization.revoke();
    return authorization.allows_orders(now);
}

} // namespace

process::process(std::size_t index, std::uint64_t number, time_point started)
    : lease(names[index] + std::string(":1"), names[index], number, term),
      incarnation(number), started_at(started)
{
}

checker_state::checker_state(model_scenario const& scenario) : scenario_(&scenario)
{
    for (std::size_t who = 0; who < instance_count; ++who)
        processes_.emplace_back(who, 1,
                                scenario.begins_with_holder ? local_time(who) - lease_ms
                                                            : local_time(who));
    if (!scenario.begins_with_holder)
        return;
    apply({step_kind::read, 0});
    apply({step_kind::write, 0});
    apply({step_kind::read, 1});
    apply({step_kind::read, 2});
}

time_point checker_state::local_time(std::size_t who) const
{
    auto const started = std::chrono::seconds(100 * (who + 1));
    return time_point(started +
                      now_.time_since_epoch() * scenario_->clock_rate[who] / 100);
}

bool checker_state::has_open_call(std::size_t who) const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [&](store_call const& call)
                       { return call.owner == who && !call.given_up; });
}

// A read is a step only if it would give the instance new information.
bool checker_state::may_read(std::size_t who) const
{
    auto const& self = processes_[who];
    return (!self.has_read || self.lease.version().number < version_) &&
           !self.terminating && !has_open_call(who);
}

// Repeats the rule of lease_keeper::step. The delay before a claim may be zero here.
bool checker_state::may_write(std::size_t who) const
{
    auto const& self = processes_[who];
    auto const now = local_time(who);
    if (!self.has_read || self.terminating || has_open_call(who))
        return false;
    if (self.lease.renewal_due(now))
        return true;
    bool const initial_wait_over = self.found_no_row || self.lease.inherited_row() ||
                                   now - self.started_at >= lease_ms;
    return initial_wait_over && self.lease.may_claim(now);
}

// Repeats the rule of entry_node::release_lease. Its write may overlap with one that
// lease_keeper::step has sent.
bool checker_state::may_release(std::size_t who) const
{
    auto const& self = processes_[who];
    if (!self.terminating || self.release_sent || !self.lease.held(local_time(who)))
        return false;
    return with_authorization(self, [&](order_authorization& authorization, auto&)
                              { return authorization.all_settled(local_time(who)); });
}

void checker_state::write_steps(std::uint8_t who, std::vector<step>& out) const
{
    if (!may_write(who) && !may_release(who))
        return;
    out.push_back({step_kind::write, who});
    if (scenario_->lost_answers)
        out.push_back({step_kind::write_answer_lost, who});
    if (scenario_->slow_writes && calls_.size() < max_open_calls)
        out.push_back({step_kind::write_on_way, who});
}

void checker_state::order_steps(std::uint8_t who, std::vector<step>& out) const
{
    auto const& self = processes_[who];
    if (self.order && self.order->sent)
        out.push_back({step_kind::order_given_up, who});
    else if (self.order)
        out.push_back({step_kind::order_leaves, who});
    else if (allows_orders(self, order_margin, local_time(who)))
    {
        out.push_back({step_kind::order, who});
        if (!scenario_->slow_orders || orders_.size() == max_orders_in_flight)
            return;
        out.push_back({step_kind::order_prepared, who});
        out.push_back({step_kind::order_on_way, who});
    }
}

std::vector<step> checker_state::steps() const
{
    std::vector<step> out;
    for (std::uint8_t who = 0; who < instance_count; ++who)
    {
        auto const& self = processes_[who];
        if (may_read(who))
            out.push_back({step_kind::read, who});
        write_steps(who, out);
        if (scenario_->orders)
            order_steps(who, out);
        for (std::uint8_t to = 0; scenario_->told_rows && to < instance_count; ++to)
            if (to != who && self.lease.version().number != 0)
                out.push_back({step_kind::tell, who, to});
        if (terminations_ < scenario_->terminations && !self.terminating)
            out.push_back({step_kind::terminate, who});
        if (restarts_ < scenario_->restarts)
            out.push_back({step_kind::restart, who});
    }
    auto const add = [&](step_kind kind, std::size_t target) {
        out.push_back({kind, 0, static_cast<std::uint8_t>(target)});
    };
    for (std::size_t i = 0; i < calls_.size(); ++i)
    {
        if (calls_[i].state == store_call::progress::on_way)
            add(step_kind::write_takes_effect, i);
        else if (!calls_[i].given_up)
            add(step_kind::write_answered, i);
        if (!calls_[i].given_up)
            add(step_kind::write_given_up, i);
    }
    for (std::size_t i = 0; i < orders_.size(); ++i)
        add(step_kind::order_arrives, i);
    for (std::size_t i = 0; i < scenario_->time_steps.size(); ++i)
        add(step_kind::time_passes, i);
    return out;
}

void checker_state::read(std::size_t who)
{
    auto& self = processes_[who];
    if (version_ != 0)
        self.lease.observe(row_, {0, version_}, local_time(who), duration::max());
    else if (!self.has_read)
        self.lease.observe_absent(0, local_time(who));
    self.found_no_row = version_ == 0;
    self.has_read = true;
}

void checker_state::write(std::size_t who, step_kind how)
{
    auto& self = processes_[who];
    bool const release = self.terminating;
    self.release_sent = release;
    store_call call{who,
                    self.incarnation,
                    how == step_kind::write_answer_lost,
                    release ? self.lease.released_row()
                            : self.lease.next_row(local_time(who)),
                    self.lease.version().number,
                    local_time(who)};
    if (how == step_kind::write_on_way)
    {
        calls_.push_back(std::move(call));
        return;
    }
    take_effect(call);
    if (how == step_kind::write)
        deliver_write_answer(call);
}

void checker_state::take_effect(store_call& call)
{
    if (call.expected != version_)
    {
        call.state = store_call::progress::refused;
        call.stored = row_;
        call.version = version_;
        return;
    }
    call.state = store_call::progress::accepted;
    auto const former = std::exchange(row_, call.row);
    call.version = ++version_;
    if (row_.holder_address.empty())
        return;
    if (row_.fence == 0)
        return fail("a holder has no fencing number");
    if (row_.fence > claims_.size())
    {
        auto const why = former.holder_address.empty() ? claim::cause::released
                         : former.holder_name == row_.holder_name
                             ? claim::cause::inherited
                             : claim::cause::lapsed;
        claims_.push_back({call.owner, call.incarnation, why});
    }
    auto const& owner = claims_[row_.fence - 1];
    if (owner.owner != call.owner || owner.incarnation != call.incarnation)
        fail("two processes have fencing number " + std::to_string(row_.fence));
}

// Repeats lease_keeper::write and observe_rows.
void checker_state::deliver_write_answer(store_call const& call)
{
    auto& self = processes_[call.owner];
    self.found_no_row = false;
    if (call.state == store_call::progress::accepted)
        self.lease.record_write(call.row, {0, call.version}, call.sent_at);
    else
        self.lease.observe(call.stored, {0, call.version}, local_time(call.owner),
                           duration::max());
}

void checker_state::prepare_order(std::size_t who)
{
    auto& self = processes_[who];
    self.order = open_order{self.lease.fence(), local_time(who)};
}

void checker_state::order_leaves(std::size_t who)
{
    auto& self = processes_[who];
    bool const leaves =
        with_authorization(self, [&](order_authorization&, auto& permit)
                           { return permit && permit->try_mark_sent(local_time(who)); });
    if (!leaves)
    {
        self.order.reset();
        return;
    }
    self.order->sent = true;
    self.order->sent_at = local_time(who);
    orders_.push_back({who, self.order->fence, now_});
}

void checker_state::stop_awaiting_orders(std::size_t who)
{
    for (auto& order : orders_)
        if (order.owner == who)
            order.awaited = false;
}

void checker_state::deliver_order(std::size_t index)
{
    auto const order = orders_[index];
    orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(index));
    if (order.awaited)
        processes_[order.owner].order.reset();
    if (order.fence < highest_fence_)
    {
        auto const first = claims_.begin() + static_cast<std::ptrdiff_t>(order.fence);
        // A restarted process claims immediately, by design. Orders of its previous
        // process may still be on their way to the runner.
        if (std::any_of(first, claims_.end(),
                        [](claim const& later)
                        { return later.why == claim::cause::inherited; }))
            return;
        // A claim of an expired lease waits for the margins. A released lease has waited
        // for every order.
        auto const safe = first->why == claim::cause::released ? max_arrival_delay
                          : scenario_->told_rows               ? max_safe_delay_told_rows
                                                               : max_safe_delay;
        if (now_ - order.sent_at < safe)
            fail("an order with fencing number " + std::to_string(order.fence) +
                 " arrives after one with " + std::to_string(highest_fence_));
        return;
    }
    highest_fence_ = order.fence;
    if (!order_runs_.empty() && order_runs_.back().owner == order.owner)
    {
        order_runs_.back().sent_at = order.sent_at;
        return;
    }
    for (auto const& run : order_runs_)
        if (run.owner == order.owner && now_ - run.sent_at < lease_ms)
            fail(std::string("orders of ") + names[order.owner] +
                 ", another holder and again " + names[order.owner] +
                 " arrive within lease_ms");
    order_runs_.push_back({order.owner, order.sent_at});
}

void checker_state::pass(duration time)
{
    now_ += time;
    std::erase_if(orders_, [&](order_in_flight const& order)
                  { return now_ - order.sent_at > max_arrival_delay; });
    std::erase_if(
        order_runs_, [&](order_run const& run)
        { return now_ - run.sent_at >= lease_ms && &run != &order_runs_.back(); });
}

void checker_state::apply(step const& next)
{
    perform(next);
    for (std::size_t who = 0; scenario_->immediate_reactions && who < instance_count;
         ++who)
        if (may_read(who))
            read(who);
}

void checker_state::perform(step const& next)
{
    auto& self = processes_[next.who];
    switch (next.kind)
    {
    case step_kind::read:
        return read(next.who);
    case step_kind::write:
    case step_kind::write_answer_lost:
    case step_kind::write_on_way:
        return write(next.who, next.kind);
    case step_kind::write_takes_effect:
        take_effect(calls_[next.target]);
        if (calls_[next.target].given_up)
            calls_.erase(calls_.begin() + next.target);
        return;
    case step_kind::write_answered:
        deliver_write_answer(calls_[next.target]);
        calls_.erase(calls_.begin() + next.target);
        return;
    case step_kind::write_given_up:
        calls_[next.target].given_up = true;
        if (calls_[next.target].state != store_call::progress::on_way)
            calls_.erase(calls_.begin() + next.target);
        return;
    case step_kind::tell:
    {
        auto& to = processes_[next.target].lease;
        to.observe(self.lease.row(), self.lease.version(), local_time(next.target),
                   self.lease.remaining(local_time(next.who)));
        return;
    }
    case step_kind::terminate:
        ++terminations_;
        self.terminating = true;
        if (scenario_->immediate_reactions && may_release(next.who))
            write(next.who, step_kind::write);
        return;
    case step_kind::restart:
        for (auto& call : calls_)
            call.given_up = call.given_up || call.owner == next.who;
        std::erase_if(
            calls_, [](store_call const& call)
            { return call.given_up && call.state != store_call::progress::on_way; });
        stop_awaiting_orders(next.who);
        ++restarts_;
        self = process(next.who, self.incarnation + 1, local_time(next.who));
        return;
    case step_kind::order:
        prepare_order(next.who);
        order_leaves(next.who);
        return deliver_order(orders_.size() - 1);
    case step_kind::order_prepared:
        return prepare_order(next.who);
    case step_kind::order_on_way:
        prepare_order(next.who);
        return order_leaves(next.who);
    case step_kind::order_leaves:
        return order_leaves(next.who);
    case step_kind::order_arrives:
        return deliver_order(next.target);
    case step_kind::order_given_up:
        stop_awaiting_orders(next.who);
        self.unanswered = self.order->sent_at;
        self.order.reset();
        return;
    case step_kind::time_passes:
        return pass(scenario_->time_steps[next.target]);
    }
}

std::string checker_state::violation() const
{
    if (!failure_.empty())
        return failure_;
    std::string holders;
    for (std::size_t who = 0; who < instance_count; ++who)
    {
        auto const& self = processes_[who];
        if (allows_orders(self, duration::zero(), local_time(who)))
            holders += names[who];
        if (self.terminating)
            continue;
        auto later = self.lease;
        if (version_ != 0)
            later.observe(row_, {0, version_}, local_time(who), duration::max());
        else
            later.observe_absent(0, local_time(who));
        if (!later.may_claim(local_time(who) + term + lease_ms))
            return std::string(names[who]) + " can't claim a lease that nobody renews";
    }
    if (holders.size() > 1)
        return holders + " are all allowed to send orders";
    return {};
}

} // namespace carawayturn::entry::lease_model

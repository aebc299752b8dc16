#include "entry/lease_model.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry::lease_model
{

namespace
{

/// The values that entry_node gives to both classes.
constexpr duration term = milliseconds(2400);
constexpr duration order_margin = milliseconds(200);
constexpr duration arrival_limit = term;
constexpr duration lease_ms = service_bounds().order_lease;

/// The last order leaves 0.2 s before the right ends, which is 0.3 s before the term;
/// others claim 0.3 s after the term. An order that takes no longer arrives before the
/// next claim.
constexpr duration safe_delay = milliseconds(800);
/// The same where instances hear of a row from its holder: what it tells is left until
/// the end of its right, and they claim 0.3 s after that.
constexpr duration safe_delay_after_word = milliseconds(500);

constexpr std::size_t most_calls = 2;
constexpr std::size_t most_orders = 2;

/// The real right of a process. It refers to its lease and cannot be copied with the
/// world, so what was done with it is done again on a new one.
template <typename Use>
auto with_right(process const& of, Use use)
{
    order_lease lease = of.lease;
    order_right right(lease, order_margin, arrival_limit);
    auto const grant = [&](std::uint64_t fence, time_point at)
    {
        auto row = of.lease.next_row(at);
        row.fence = fence;
        lease.written(row, 1, at);
    };
    if (of.unanswered)
    {
        grant(0, *of.unanswered);
        auto share = right.take(*of.unanswered);
        (void)share->leave(*of.unanswered);
    }
    std::optional<order_right::share> share;
    if (of.order)
    {
        grant(of.order->fence, of.order->taken_at);
        if (auto taken = right.take(of.order->taken_at))
            share.emplace(std::move(*taken));
        grant(of.order->fence, of.order->left_at);
        if (of.order->left)
            (void)share->leave(of.order->left_at);
    }
    lease = of.lease;
    if (of.terminating)
        right.end();
    return use(right, share);
}

bool lasts(process const& of, duration margin, time_point now)
{
    order_right right(of.lease, margin, arrival_limit);
    if (of.terminating)
        right.end();
    return right.lasts(now);
}

} // namespace

process::process(std::size_t index, std::uint64_t number, time_point started)
    : lease(names[index] + std::string(":1"), names[index], number, term),
      incarnation(number), started_at(started)
{
}

world::world(world_rules const& rules) : rules_(&rules)
{
    for (std::size_t who = 0; who < instance_count; ++who)
        processes_.emplace_back(
            who, 1, rules.begins_with_holder ? local(who) - lease_ms : local(who));
    if (!rules.begins_with_holder)
        return;
    apply({step_kind::read, 0});
    apply({step_kind::write, 0});
    apply({step_kind::read, 1});
    apply({step_kind::read, 2});
}

time_point world::local(std::size_t who) const
{
    auto const started = std::chrono::seconds(100 * (who + 1));
    return time_point(started + now_.time_since_epoch() * rules_->clock_rate[who] / 100);
}

bool world::calls(std::size_t who) const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [&](store_call const& call)
                       { return call.owner == who && !call.given_up; });
}

// Only a read that would tell the instance something is a step.
bool world::may_read(std::size_t who) const
{
    auto const& self = processes_[who];
    return (!self.has_read || self.lease.row_version() < version_) && !self.terminating &&
           !calls(who);
}

// lease_keeper::step. The delay before a claim may be nothing here.
bool world::may_write(std::size_t who) const
{
    auto const& self = processes_[who];
    auto const now = local(who);
    if (!self.has_read || self.terminating || calls(who))
        return false;
    if (self.lease.renewal_due(now))
        return true;
    bool const settled = self.found_no_row || self.lease.inherited_row() ||
                         now - self.started_at >= lease_ms;
    return settled && self.lease.may_claim(now);
}

// entry_node::give_lease_back; its write may cross one that lease_keeper::step has sent.
bool world::may_release(std::size_t who) const
{
    auto const& self = processes_[who];
    if (!self.terminating || self.release_sent || !self.lease.held(local(who)))
        return false;
    return with_right(self, [&](order_right& right, auto&)
                      { return right.settled(local(who)); });
}

void world::write_steps(std::uint8_t who, std::vector<step>& out) const
{
    if (!may_write(who) && !may_release(who))
        return;
    out.push_back({step_kind::write, who});
    if (rules_->lost_answers)
        out.push_back({step_kind::write_answer_lost, who});
    if (rules_->slow_writes && calls_.size() < most_calls)
        out.push_back({step_kind::write_on_way, who});
}

void world::order_steps(std::uint8_t who, std::vector<step>& out) const
{
    auto const& self = processes_[who];
    if (self.order && self.order->left)
        out.push_back({step_kind::order_given_up, who});
    else if (self.order)
        out.push_back({step_kind::order_leaves, who});
    else if (lasts(self, order_margin, local(who)))
    {
        out.push_back({step_kind::order, who});
        if (!rules_->slow_orders || orders_.size() == most_orders)
            return;
        out.push_back({step_kind::order_prepared, who});
        out.push_back({step_kind::order_on_way, who});
    }
}

std::vector<step> world::steps() const
{
    std::vector<step> out;
    for (std::uint8_t who = 0; who < instance_count; ++who)
    {
        auto const& self = processes_[who];
        if (may_read(who))
            out.push_back({step_kind::read, who});
        write_steps(who, out);
        if (rules_->orders)
            order_steps(who, out);
        for (std::uint8_t to = 0; rules_->words && to < instance_count; ++to)
            if (to != who && self.lease.row_version() != 0)
                out.push_back({step_kind::tell, who, to});
        if (terminations_ < rules_->terminations && !self.terminating)
            out.push_back({step_kind::terminate, who});
        if (restarts_ < rules_->restarts)
            out.push_back({step_kind::restart, who});
    }
    auto const add = [&](step_kind kind, std::size_t what) {
        out.push_back({kind, 0, static_cast<std::uint8_t>(what)});
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
    for (std::size_t i = 0; i < rules_->time_steps.size(); ++i)
        add(step_kind::time_passes, i);
    return out;
}

void world::read(std::size_t who)
{
    auto& self = processes_[who];
    if (version_ != 0)
        self.lease.observe(row_, version_, local(who), duration::max());
    else if (!self.has_read)
        self.lease.observe_absent();
    self.found_no_row = version_ == 0;
    self.has_read = true;
}

void world::write(std::size_t who, step_kind how)
{
    auto& self = processes_[who];
    bool const release = self.terminating;
    self.release_sent = release;
    store_call call{who,
                    self.incarnation,
                    how == step_kind::write_answer_lost,
                    release ? self.lease.released_row() : self.lease.next_row(local(who)),
                    self.lease.row_version(),
                    local(who)};
    if (how == step_kind::write_on_way)
    {
        calls_.push_back(std::move(call));
        return;
    }
    take_effect(call);
    if (how == step_kind::write)
        answer(call);
}

void world::take_effect(store_call& call)
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

// lease_keeper::write and observe_rows
void world::answer(store_call const& call)
{
    auto& self = processes_[call.owner];
    self.found_no_row = false;
    if (call.state == store_call::progress::accepted)
        self.lease.written(call.row, call.version, call.sent_at);
    else
        self.lease.observe(call.stored, call.version, local(call.owner), duration::max());
}

void world::take_order(std::size_t who)
{
    auto& self = processes_[who];
    self.order = open_order{self.lease.fence(), local(who)};
}

void world::order_leaves(std::size_t who)
{
    auto& self = processes_[who];
    bool const leaves = with_right(self, [&](order_right&, auto& share)
                                   { return share && share->leave(local(who)); });
    if (!leaves)
    {
        self.order.reset();
        return;
    }
    self.order->left = true;
    self.order->left_at = local(who);
    orders_.push_back({who, self.order->fence, now_});
}

void world::await_no_order(std::size_t who)
{
    for (auto& order : orders_)
        if (order.owner == who)
            order.awaited = false;
}

void world::arrives(std::size_t index)
{
    auto const order = orders_[index];
    orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(index));
    if (order.awaited)
        processes_[order.owner].order.reset();
    if (order.fence < highest_fence_)
    {
        auto const first = claims_.begin() + static_cast<std::ptrdiff_t>(order.fence);
        // A restarted process claims at once, by design; its former process's orders may
        // still be at the runner.
        if (std::any_of(first, claims_.end(),
                        [](claim const& later)
                        { return later.why == claim::cause::inherited; }))
            return;
        // A lease that lapsed waits for the margins, one that was given back for every
        // order.
        auto const safe = first->why == claim::cause::released ? arrival_limit
                          : rules_->words                      ? safe_delay_after_word
                                                               : safe_delay;
        if (now_ - order.left_at < safe)
            fail("an order with fencing number " + std::to_string(order.fence) +
                 " arrives after one with " + std::to_string(highest_fence_));
        return;
    }
    highest_fence_ = order.fence;
    if (!turns_.empty() && turns_.back().owner == order.owner)
    {
        turns_.back().left_at = order.left_at;
        return;
    }
    for (auto const& turn : turns_)
        if (turn.owner == order.owner && now_ - turn.left_at < lease_ms)
            fail(std::string("orders of ") + names[order.owner] +
                 ", another holder and again " + names[order.owner] +
                 " arrive within lease_ms");
    turns_.push_back({order.owner, order.left_at});
}

void world::pass(duration time)
{
    now_ += time;
    std::erase_if(orders_, [&](order_in_flight const& order)
                  { return now_ - order.left_at > arrival_limit; });
    std::erase_if(turns_, [&](arrival const& turn)
                  { return now_ - turn.left_at >= lease_ms && &turn != &turns_.back(); });
}

void world::apply(step const& next)
{
    take(next);
    for (std::size_t who = 0; rules_->brisk && who < instance_count; ++who)
        if (may_read(who))
            read(who);
}

void world::take(step const& next)
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
        take_effect(calls_[next.what]);
        if (calls_[next.what].given_up)
            calls_.erase(calls_.begin() + next.what);
        return;
    case step_kind::write_answered:
        answer(calls_[next.what]);
        calls_.erase(calls_.begin() + next.what);
        return;
    case step_kind::write_given_up:
        calls_[next.what].given_up = true;
        if (calls_[next.what].state != store_call::progress::on_way)
            calls_.erase(calls_.begin() + next.what);
        return;
    case step_kind::tell:
    {
        auto& to = processes_[next.what].lease;
        to.observe(self.lease.row(), self.lease.row_version(), local(next.what),
                   self.lease.remaining(local(next.who)));
        return;
    }
    case step_kind::terminate:
        ++terminations_;
        self.terminating = true;
        if (rules_->brisk && may_release(next.who))
            write(next.who, step_kind::write);
        return;
    case step_kind::restart:
        for (auto& call : calls_)
            call.given_up = call.given_up || call.owner == next.who;
        std::erase_if(
            calls_, [](store_call const& call)
            { return call.given_up && call.state != store_call::progress::on_way; });
        await_no_order(next.who);
        ++restarts_;
        self = process(next.who, self.incarnation + 1, local(next.who));
        return;
    case step_kind::order:
        take_order(next.who);
        order_leaves(next.who);
        return arrives(orders_.size() - 1);
    case step_kind::order_prepared:
        return take_order(next.who);
    case step_kind::order_on_way:
        take_order(next.who);
        return order_leaves(next.who);
    case step_kind::order_leaves:
        return order_leaves(next.who);
    case step_kind::order_arrives:
        return arrives(next.what);
    case step_kind::order_given_up:
        await_no_order(next.who);
        self.unanswered = self.order->left_at;
        self.order.reset();
        return;
    case step_kind::time_passes:
        return pass(rules_->time_steps[next.what]);
    }
}

std::string world::violation() const
{
    if (!failure_.empty())
        return failure_;
    std::string holders;
    for (std::size_t who = 0; who < instance_count; ++who)
    {
        auto const& self = processes_[who];
        if (lasts(self, duration::zero(), local(who)))
            holders += names[who];
        if (self.terminating)
            continue;
        auto later = self.lease;
        if (version_ != 0)
            later.observe(row_, version_, local(who), duration::max());
        else
            later.observe_absent();
        if (!later.may_claim(local(who) + term + lease_ms))
            return std::string(names[who]) + " can't claim a lease that nobody renews";
    }
    if (holders.size() > 1)
        return holders + " all hold the right to order";
    return {};
}

} // namespace carawayturn::entry::lease_model

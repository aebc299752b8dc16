#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "coordination/entry/order_authorization.hpp"
#include "state/entry/node_settings.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry::lease_model
{

using std::chrono::milliseconds;

constexpr std::size_t instance_count = 3;
constexpr std::array<char const*, instance_count> names{"A", "B", "C"};

enum class step_kind : std::uint8_t
{
    read,
    write,
    write_answer_lost,
    write_on_way,
    write_takes_effect,
    write_answered,
    write_given_up,
    tell,
    terminate,
    restart,
    order,
    order_prepared,
    order_leaves,
    order_on_way,
    order_arrives,
    order_given_up,
    time_passes,
};

struct step
{
    step_kind kind;
    std::uint8_t who = 0;
    /// Index of the write, order, time step or receiving instance, depending on `kind`.
    std::uint8_t target = 0;
};

/// Selects the steps that are possible besides reads, writes that are answered
/// immediately, and time steps.
struct model_scenario
{
    bool lost_answers = false;
    /// Writes may take effect and be answered at any later time.
    bool slow_writes = false;
    /// Instances send each other the row that they know and its remaining time.
    bool told_rows = false;
    int terminations = 0;
    int restarts = 0;
    bool orders = false;
    /// Orders may be sent later than they are prepared, or arrive later than they are
    /// sent.
    bool slow_orders = false;
    /// Every instance reads each change of the row in the step that makes it, and an
    /// instance that receives SIGTERM releases the lease in the same step.
    bool immediate_reactions = false;
    /// Rate of each instance's clock in percent of true time.
    std::array<int, instance_count> clock_rate{100, 100, 100};
    /// Whether A initially holds the lease and all instances know it; if not, the store
    /// contains no row yet.
    bool begins_with_holder = true;
    /// Amounts of time that may pass in one step.
    std::vector<milliseconds> time_steps;
    int depth = 0;
};

struct open_order
{
    std::uint64_t fence;
    time_point prepared_at;
    bool sent = false;
    time_point sent_at{};
};

struct process
{
    process(std::size_t index, std::uint64_t number, time_point started);

    hub_lease lease;
    std::uint64_t incarnation;
    time_point started_at;
    bool has_read = false;
    bool found_no_row = false;
    bool terminating = false;
    bool release_sent = false;
    std::optional<open_order> order;
    /// Time at which the last order was sent whose call ended without an answer.
    std::optional<time_point> unanswered;
};

struct store_call
{
    enum class progress : std::uint8_t
    {
        on_way,
        accepted,
        refused
    };

    std::size_t owner;
    std::uint64_t incarnation;
    bool given_up;
    lease_row row;
    std::uint64_t expected;
    time_point sent_at;
    progress state = progress::on_way;
    /// The row and version in the store's answer.
    lease_row stored{};
    std::uint64_t version = 0;
};

struct order_in_flight
{
    std::size_t owner;
    std::uint64_t fence;
    time_point sent_at;
    /// Whether the owner still waits for the answer.
    bool awaited = true;
};

struct claim
{
    enum class cause : std::uint8_t
    {
        lapsed,
        released,
        inherited
    };

    std::size_t owner;
    std::uint64_t incarnation;
    cause why;
};

struct order_run
{
    std::size_t owner;
    time_point sent_at;
};

/// One state of a system of three instances, the lease row and one runner, for exhaustive
/// exploration. The instances use the real hub_lease and order_authorization. The
/// surrounding rules of lease_keeper and entry_node are repeated here.
///
/// No step is forced. An instance that takes no step while time passes is frozen or cut
/// off, and an order or answer that never arrives is lost.
class checker_state
{
public:
    explicit checker_state(model_scenario const& scenario);

    [[nodiscard]] std::vector<step> steps() const;
    void apply(step const& next);
    /// Describes the violated property, or returns an empty string if there is none.
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] std::uint64_t state_digest() const;
    /// Describes a step, in the state before it is taken.
    [[nodiscard]] std::string describe(step const& next) const;

private:
    /// The time by the clock of the instance's machine, counted from the machine's start.
    [[nodiscard]] time_point local_time(std::size_t who) const;
    [[nodiscard]] std::uint64_t
    digest_with(std::array<std::size_t, instance_count> const& numbers) const;
    [[nodiscard]] bool has_open_call(std::size_t who) const;
    [[nodiscard]] bool may_read(std::size_t who) const;
    [[nodiscard]] bool may_write(std::size_t who) const;
    [[nodiscard]] bool may_release(std::size_t who) const;
    void write_steps(std::uint8_t who, std::vector<step>& out) const;
    void order_steps(std::uint8_t who, std::vector<step>& out) const;
    void read(std::size_t who);
    void write(std::size_t who, step_kind how);
    void take_effect(store_call& call);
    void deliver_write_answer(store_call const& call);
    void prepare_order(std::size_t who);
    void order_leaves(std::size_t who);
    void stop_awaiting_orders(std::size_t who);
    void deliver_order(std::size_t index);
    void perform(step const& next);
    void pass(duration time);
    void fail(std::string const& what)
    {
        if (failure_.empty())
            failure_ = what;
    }

    model_scenario const* scenario_;
    /// The true time.
    time_point now_{};
    std::vector<process> processes_;
    lease_row row_;
    std::uint64_t version_ = 0;
    std::vector<store_call> calls_;
    std::vector<order_in_flight> orders_;
    /// The claims by fencing number, starting with 1.
    std::vector<claim> claims_;
    std::uint64_t highest_fence_ = 0;
    /// Runs of consecutive orders of one holder that reached the runner, by the last
    /// order of each run. The time is when that order was sent and not when it arrived,
    /// because a late arrival shortens the time to the next run.
    std::vector<order_run> order_runs_;
    int terminations_ = 0;
    int restarts_ = 0;
    std::string failure_;
};

} // namespace carawayturn::entry::lease_model

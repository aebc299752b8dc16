#pragma once

#include "coordination/flow/backend_chooser.hpp"
#include "coordination/flow/open_request.hpp"
#include "coordination/flow/waiting_line.hpp"
#include "coordination/request_flow.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace carawayturn::flow
{

/// Implements request_flow. The member functions are grouped by the files that define
/// them.
class flow_engine final : public request_flow
{
public:
    flow_engine(instance_identity identity, parts collaborators, flow_limits limits);

    void handle(time_point now, event const& input, actions& out) override;
    [[nodiscard]] std::string dump(time_point now) const override;
    [[nodiscard]] std::size_t open_requests() const override { return open_.size(); }
    [[nodiscard]] std::string explain(request_id const& request) const override;
    void stop_accepting() override { accepting_ = false; }
    void refuse_all(time_point now, actions& out) override;

private:
    friend struct flow_event_handler;

    using request_map = std::unordered_map<request_id, open_request>;

    // admission.cpp: from arrival to the waiting line.
    void arrive(time_point now, caller_request const& request, actions& out);
    [[nodiscard]] std::optional<refusal> identify(open_request& entry) const;
    [[nodiscard]] std::optional<refusal>
    identify_organisation(open_request& entry, route_config const& route) const;
    [[nodiscard]] std::optional<refusal> identify_target(open_request& entry,
                                                         route_config const& route) const;
    [[nodiscard]] std::optional<refusal> check_admission(time_point now,
                                                         open_request const& entry) const;
    void continue_admission(time_point now, open_request& entry, actions& out);
    void decide_idempotency(time_point now, idempotency_decided const& verdict,
                            actions& out);
    void reserve_budget(time_point now, open_request& entry, actions& out);
    void decide_budget(time_point now, budget_decided const& decision, actions& out);
    void enter_line(time_point now, open_request& entry, actions& out);

    // dispatch.cpp: from the waiting line to a backend server.
    void serve_waiting(time_point now, actions& out);
    void serve_target(time_point now, target const& goal, actions& out);
    [[nodiscard]] std::vector<backend_status> candidates(target const& goal,
                                                         bool suspect) const;
    [[nodiscard]] double weight_of(organisation_id const& organisation) const;
    void dispatch(time_point now, open_request& entry, backend_id const& backend,
                  bool alone, actions& out);
    void refuse_hopeless(time_point now, actions& out);
    [[nodiscard]] std::optional<refusal> hopeless(time_point now, target const& goal,
                                                  waiting_entry const& entry,
                                                  std::uint32_t place) const;

    // attempts.cpp: what becomes of attempts.
    void attempt_started(dispatch_started const& input);
    void attempt_progressed(dispatch_progress const& input);
    void attempt_ended(time_point now, dispatch_ended const& input, actions& out);
    void finish(time_point now, open_request& entry, dispatch_ended const& input,
                actions& out);
    void retry_not_run(time_point now, open_request& entry, actions& out);
    void handle_break(time_point now, open_request& entry, actions& out);
    void backend_alive(time_point now, backend_id const& backend, actions& out);
    void backend_crash(time_point now, backend_id const& backend, actions& out);
    void count_crash(time_point now, open_request& entry, actions& out);
    void resume_after_break(time_point now, open_request& entry, actions& out);
    void expire_verification(time_point now, actions& out);

    // ending.cpp: final answers.
    void refuse(time_point now, open_request& entry, refusal reason, actions& out);
    void end_request(time_point now, open_request& entry, refusal reason, actions& out);
    void refuse_and_detach(time_point now, open_request& entry, refusal reason,
                           actions& out);
    void give_up_attempt(time_point now, open_request& entry, refusal reason,
                         actions& out);
    void close(time_point now, open_request& entry, token_count used,
               std::string const& outcome);
    void caller_left(time_point now, request_id const& id, actions& out);
    void expire_deadlines(time_point now, actions& out);
    void recheck_permissions(time_point now, actions& out);
    [[nodiscard]] execution execution_of(open_request const& entry) const;

    // flow_engine.cpp: bookkeeping.
    [[nodiscard]] open_request* find(request_id const& id);
    [[nodiscard]] open_request* find_attempt(request_id const& id, std::uint32_t attempt);
    void leave_line(open_request& entry);
    void mark_demand(target const& goal) { changed_demand_.insert(goal); }
    void report_demand(time_point now, actions& out);
    [[nodiscard]] local_demand demand_of(target const& goal) const;
    void remember(open_request& entry, std::string const& outcome, time_point now);
    static void note(open_request& entry, time_point now, std::string text);
    [[nodiscard]] std::vector<request_id> ids() const;

    instance_identity identity_;
    parts parts_;
    flow_limits limits_;
    bool accepting_ = true;
    request_map open_;
    waiting_line line_;
    backend_chooser chooser_;
    std::set<target> changed_demand_;
    std::map<target, std::uint64_t> arrivals_;
    time_point hopeless_checked_{};

    struct finished_request
    {
        request_id id;
        std::string explanation;
    };
    std::deque<finished_request> recent_;
};

} // namespace carawayturn::flow

#include "coordination/request_flow.hpp"

#include "coordination/flow_fakes.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;

class request_flow_test : public ::testing::Test
{
protected:
    request_flow_test()
    {
        auto& config = config_.config;
        config.version = 1;
        config.models[model_id("base")] = {model_id("base"), "1", 1000, 2};
        config.pools[pool_id("chat")].id = pool_id("chat");
        config.pools[pool_id("chat")].models = {model_id("base")};
        config.pools[pool_id("booking")].id = pool_id("booking");
        config.pools[pool_id("booking")].kind = pool_kind::plain;
        add_route("/v1/chat", "chat", false);
        add_route("/book", "booking", true);
        for (std::string const name : {"acme", "zeta"})
        {
            auto& organisation = config.organisations[organisation_id(name)];
            organisation.id = organisation_id(name);
            organisation.rate = 100;
            organisation.models = {"*"};
            organisation.pools = {"*"};
            organisation.key_digests = {digest("key-" + name)};
        }
        for (std::string const name : {"runner-1", "runner-2", "runner-3"})
            add_backend(name, "chat");
        add_backend("plain-1", "booking");
        flow_ = request_flow::create(
            {}, {config_, authority_, backends_, budgets_, placement_, ledger_, poison_},
            limits_);
    }

    void add_route(std::string const& prefix, std::string const& pool, bool at_most_once)
    {
        route_config route;
        route.path_prefix = prefix;
        route.pool = pool_id(pool);
        route.at_most_once = at_most_once;
        config_.config.routes.push_back(route);
    }

    void add_backend(std::string const& name, std::string const& pool)
    {
        auto& status = backends_.servers[backend_id(name)];
        status.id = backend_id(name);
        status.pool = pool_id(pool);
    }

    void load_everywhere()
    {
        for (std::string const name : {"runner-1", "runner-2", "runner-3"})
            placement_.loaded.push_back(
                {backend_id(name), {model_id("base"), {}, "1", 1000}});
    }

    static caller_request chat(std::string const& id,
                               std::string const& organisation = "acme")
    {
        caller_request request;
        request.id = request_id(id);
        request.path = "/v1/chat/completions";
        request.key = digest("key-" + organisation);
        request.body = digest("body-" + id);
        request.model = "base";
        request.prompt_tokens = 10;
        request.max_tokens = 90;
        return request;
    }

    static caller_request booking(std::string const& id)
    {
        auto request = chat(id);
        request.path = "/book/1";
        request.model.clear();
        request.idempotency_key = "key-of-" + id;
        return request;
    }

    actions feed(event const& input)
    {
        actions out;
        flow_->handle(now_, input, out);
        return out;
    }

    template <class Action>
    static std::vector<Action> only(actions const& all)
    {
        std::vector<Action> found;
        for (auto const& entry : all)
        {
            if (auto const* const match = std::get_if<Action>(&entry))
                found.push_back(*match);
        }
        return found;
    }

    static void expect_refusal(actions const& all, refusal_code code, execution ran)
    {
        auto const refusals = only<refuse_request>(all);
        ASSERT_EQ(refusals.size(), 1U);
        EXPECT_EQ(name_of(refusals[0].reason.code), name_of(code));
        EXPECT_EQ(name_of(refusals[0].reason.ran), name_of(ran));
    }

    dispatch_request dispatched(caller_request const& request)
    {
        auto const sent = only<dispatch_request>(feed(request_arrived{request}));
        EXPECT_EQ(sent.size(), 1U);
        return sent.empty() ? dispatch_request{} : sent[0];
    }

    dispatch_ended ended(dispatch_request const& sent, dispatch_outcome outcome) const
    {
        dispatch_ended end;
        end.request = sent.request;
        end.attempt = sent.attempt;
        end.outcome = outcome;
        return end;
    }

    backend_report report_of(backend_id const& backend) const
    {
        backend_report report;
        report.backend = backend;
        return report;
    }

    time_point now_{1h};
    testing::fake_config_log config_;
    testing::fake_authority authority_;
    testing::fake_backends backends_;
    testing::fake_budgets budgets_;
    testing::fake_placement placement_;
    testing::fake_ledger ledger_;
    testing::fake_poison poison_;
    flow_limits limits_;
    std::unique_ptr<request_flow> flow_;
};

TEST_F(request_flow_test, arrive_with_unknown_key_is_refused_not_run)
{
    expect_refusal(feed(request_arrived{chat("r", "stranger")}),
                   refusal_code::key_unknown, execution::not_run);
}

TEST_F(request_flow_test, arrive_without_authority_is_refused_not_run)
{
    load_everywhere();
    authority_.serving = false;
    expect_refusal(feed(request_arrived{chat("r")}), refusal_code::no_authority,
                   execution::not_run);
}

TEST_F(request_flow_test, arrive_over_rate_is_refused_with_retry_after)
{
    budgets_.answer = {reserve_outcome::refused, 7s};
    auto const out = feed(request_arrived{chat("r")});
    expect_refusal(out, refusal_code::over_rate, execution::not_run);
    EXPECT_EQ(only<refuse_request>(out)[0].reason.retry_after, duration(7s));
}

TEST_F(request_flow_test, complete_settles_with_tokens_counted_by_engine)
{
    load_everywhere();
    auto const sent = dispatched(chat("r"));
    auto end = ended(sent, dispatch_outcome::completed);
    end.tokens_used = 42;
    feed(end);
    EXPECT_EQ(budgets_.settled[request_id("r")], 42);
    EXPECT_EQ(flow_->open_requests(), 0U);
}

TEST_F(request_flow_test, wait_past_deadline_is_refused_before_it)
{
    placement_.expected = load_estimate{1s, 1};
    auto request = chat("r");
    request.time_limit = 5s;
    EXPECT_TRUE(only<refuse_request>(feed(request_arrived{request})).empty());
    now_ += 5s - 20ms;
    expect_refusal(feed(tick{}), refusal_code::deadline_passed, execution::not_run);
}

TEST_F(request_flow_test, wait_beyond_estimate_is_refused_at_once)
{
    placement_.expected = load_estimate{9s, 3};
    auto request = chat("r");
    request.time_limit = 5s;
    feed(request_arrived{request});
    expect_refusal(feed(replicas_changed{pool_id("chat")}),
                   refusal_code::deadline_unreachable, execution::not_run);
}

// Guards against a booking that runs twice because its connection broke after the first
// byte.
TEST_F(request_flow_test, break_of_at_most_once_request_is_unknown_and_not_retried)
{
    feed(request_arrived{booking("b")});
    auto const sent = only<dispatch_request>(
        feed(idempotency_decided{request_id("b"), idempotency_verdict::proceed, {}}));
    ASSERT_EQ(sent.size(), 1U);
    auto const out = feed(ended(sent[0], dispatch_outcome::broken));
    expect_refusal(out, refusal_code::backend_failed, execution::unknown);
    EXPECT_TRUE(only<dispatch_request>(out).empty());
    EXPECT_EQ(ledger_.calls.back(), "unknown b");
}

TEST_F(request_flow_test, not_sent_at_most_once_request_is_retried)
{
    add_backend("plain-2", "booking");
    feed(request_arrived{booking("b")});
    auto const first = only<dispatch_request>(
        feed(idempotency_decided{request_id("b"), idempotency_verdict::proceed, {}}));
    ASSERT_EQ(first.size(), 1U);
    auto const second =
        only<dispatch_request>(feed(ended(first[0], dispatch_outcome::not_sent)));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].backend, first[0].backend);
    EXPECT_EQ(second[0].attempt, 2U);
}

// Guards against "not-run" for a request whose first byte may already have left.
TEST_F(request_flow_test, deadline_during_dispatch_is_unknown)
{
    load_everywhere();
    auto request = chat("r");
    request.time_limit = 5s;
    dispatched(request);
    now_ += 5s;
    auto const out = feed(tick{});
    expect_refusal(out, refusal_code::deadline_passed, execution::unknown);
    EXPECT_EQ(only<cancel_dispatch>(out).size(), 1U);
}

// Guards against "not-run" before the ledger has told whether an earlier request ran.
TEST_F(request_flow_test, store_unavailable_for_keyed_request_is_unknown)
{
    feed(request_arrived{booking("b")});
    expect_refusal(feed(idempotency_decided{
                       request_id("b"), idempotency_verdict::store_unavailable, {}}),
                   refusal_code::store_unavailable, execution::unknown);
}

TEST_F(request_flow_test, break_with_live_backend_resumes_at_offset_without_suspicion)
{
    load_everywhere();
    auto const sent = dispatched(chat("r"));
    feed(dispatch_started{sent.request, sent.attempt});
    auto end = ended(sent, dispatch_outcome::broken);
    end.offset = 17;
    feed(end);
    feed(report_received{report_of(sent.backend)});
    auto const again =
        only<dispatch_request>(feed(report_received{report_of(sent.backend)}));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].resume_offset, 17U);
    EXPECT_EQ(poison_.crashes, 0);
}

// Guards against one request that crashes every runner it is retried on.
TEST_F(request_flow_test, crash_twice_is_refused_as_poisonous)
{
    load_everywhere();
    auto sent = dispatched(chat("r"));
    feed(dispatch_started{sent.request, sent.attempt});
    feed(ended(sent, dispatch_outcome::broken));
    auto const second = only<dispatch_request>(feed(backend_crashed{sent.backend}));
    ASSERT_EQ(second.size(), 1U);
    feed(dispatch_started{second[0].request, second[0].attempt});
    feed(ended(second[0], dispatch_outcome::broken));
    auto const out = feed(backend_crashed{second[0].backend});
    expect_refusal(out, refusal_code::poisonous, execution::unknown);
}

TEST_F(request_flow_test, suspect_shares_backend_with_nothing)
{
    load_everywhere();
    poison_.crashes = 1;
    auto const suspect = dispatched(chat("s"));
    poison_.crashes = 0;
    for (int index = 0; index < 30; ++index)
    {
        auto const other = dispatched(chat("r" + std::to_string(index)));
        EXPECT_NE(other.backend, suspect.backend);
    }
}

TEST_F(request_flow_test, withdrawn_key_ends_stream_in_progress)
{
    load_everywhere();
    auto request = chat("r");
    request.stream = true;
    auto const sent = dispatched(request);
    feed(dispatch_progress{sent.request, sent.attempt, 5});
    config_.config.organisations[organisation_id("acme")].key_digests.clear();
    auto const out = feed(config_changed{2});
    expect_refusal(out, refusal_code::key_withdrawn, execution::unknown);
    EXPECT_EQ(only<cancel_dispatch>(out).size(), 1U);
}

TEST_F(request_flow_test, caller_gone_cancels_at_backend_and_settles)
{
    load_everywhere();
    auto const sent = dispatched(chat("r"));
    feed(dispatch_progress{sent.request, sent.attempt, 5});
    auto const out = feed(caller_gone{sent.request});
    EXPECT_EQ(only<cancel_dispatch>(out).size(), 1U);
    EXPECT_TRUE(only<refuse_request>(out).empty());
    EXPECT_EQ(budgets_.settled[sent.request], 15);
}

// Guards against a late answer of an abandoned attempt that ends the current one.
TEST_F(request_flow_test, late_end_of_earlier_attempt_is_ignored)
{
    load_everywhere();
    auto const first = dispatched(chat("r"));
    auto const second =
        only<dispatch_request>(feed(ended(first, dispatch_outcome::not_sent)));
    ASSERT_EQ(second.size(), 1U);
    feed(ended(first, dispatch_outcome::completed));
    EXPECT_EQ(flow_->open_requests(), 1U);
}

TEST_F(request_flow_test, line_serves_least_served_organisation_first)
{
    placement_.expected = load_estimate{1s, 1};
    for (int index = 0; index < 5; ++index)
        feed(request_arrived{chat("a" + std::to_string(index))});
    feed(request_arrived{chat("z", "zeta")});
    load_everywhere();
    auto const sent = only<dispatch_request>(feed(tick{}));
    ASSERT_EQ(sent.size(), 6U);
    auto const position =
        std::find_if(sent.begin(), sent.end(),
                     [](auto const& entry) { return entry.request == request_id("z"); });
    EXPECT_LE(position - sent.begin(), 1);
}

TEST_F(request_flow_test, line_full_refuses_at_once)
{
    placement_.expected = load_estimate{1s, 1};
    for (std::uint32_t index = 0; index < limits_.max_waiting_per_organisation; ++index)
        feed(request_arrived{chat("a" + std::to_string(index))});
    expect_refusal(feed(request_arrived{chat("last")}), refusal_code::queue_full,
                   execution::not_run);
}

} // namespace
} // namespace carawayturn

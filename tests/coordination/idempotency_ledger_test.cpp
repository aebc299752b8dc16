#include "coordination/idempotency_ledger.hpp"

#include "support/budget_network.hpp"
#include "support/table_fake.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;
using testing_support::fake_serving_authority;
using testing_support::table_fake;
using mode = table_fake::mode;
using verdict = idempotency_verdict;

class idempotency_ledger_test : public testing::Test
{
protected:
    /// One instance with its ledger; all share the table and the view of members.
    struct instance
    {
        std::unique_ptr<idempotency_ledger> ledger;
        std::map<request_id, idempotency_decided> decided;
    };

    idempotency_ledger_test()
    {
        for (std::string const name : {"a", "b"})
        {
            member_entry member;
            member.id = instance_id(name);
            member.incarnation = 1;
            authority.members.push_back(member);
            instance_identity identity;
            identity.id = member.id;
            identity.incarnation = 1;
            (name == "a" ? a : b).ledger =
                idempotency_ledger::create(identity, authority);
        }
    }

    void settle(instance& at, actions out)
    {
        for (auto const& entry : table.serve(*at.ledger, now, std::move(out)))
        {
            if (auto const* const raised = std::get_if<raise_event>(&entry))
            {
                auto const& decision = std::get<idempotency_decided>(raised->raised);
                ASSERT_FALSE(at.decided.contains(decision.request));
                at.decided[decision.request] = decision;
            }
        }
    }
    void begin(instance& at, std::string const& id, std::string const& body = "body",
               duration limit = 5s)
    {
        caller_request request;
        request.id = request_id(id);
        request.body = digest(body);
        request.idempotency_key = "key";
        actions out;
        at.ledger->begin(now, request, organisation_id("acme"), now + limit, out);
        settle(at, std::move(out));
    }
    template <class Call>
    void call(instance& at, Call const& act)
    {
        actions out;
        act(*at.ledger, out);
        settle(at, std::move(out));
    }
    void finish(instance& at, std::string const& id, std::string const& body = "answer")
    {
        call(at,
             [&](auto& ledger, actions& out) {
                 ledger.finish(now, request_id(id), {200, "text/plain", body}, out);
             });
    }
    void run(duration length)
    {
        for (time_point const end = now + length; now < end; now += tick_interval)
        {
            for (instance* at : {&a, &b})
            {
                call(*at, [&](auto& ledger, actions& out)
                     { ledger.handle(now, tick{}, out); });
            }
        }
    }
    [[nodiscard]] static std::optional<verdict> of(instance const& at,
                                                   std::string const& id)
    {
        auto const found = at.decided.find(request_id(id));
        return found == at.decided.end() ? std::nullopt
                                         : std::optional(found->second.verdict);
    }
    [[nodiscard]] std::string row_text() const
    {
        return table.rows.empty() ? "" : table.rows.begin()->second.value.value_or("");
    }

    time_point now{100s};
    table_fake table;
    fake_serving_authority authority;
    instance a;
    instance b;
};

TEST_F(idempotency_ledger_test, first_request_proceeds_with_durable_intent)
{
    begin(a, "1");
    EXPECT_EQ(of(a, "1"), verdict::proceed);
    EXPECT_NE(row_text().find("\"started\""), std::string::npos);
    EXPECT_TRUE(table.rows.begin()->first.starts_with("once/acme/"));
}

TEST_F(idempotency_ledger_test, repeat_elsewhere_waits_and_gets_answer)
{
    begin(a, "1");
    begin(b, "2");
    run(1s);
    EXPECT_EQ(of(b, "2"), std::nullopt);
    // Polls at 50 ms to 500 ms, not at each tick.
    EXPECT_LT(table.read_count, 12);
    finish(a, "1");
    run(600ms);
    EXPECT_EQ(of(b, "2"), verdict::replay);
    EXPECT_EQ(b.decided.at(request_id("2")).answer->body, "answer");
}

TEST_F(idempotency_ledger_test, repeat_at_same_instance_gets_answer_without_reading)
{
    begin(a, "1");
    begin(a, "2");
    finish(a, "1");
    EXPECT_EQ(of(a, "2"), verdict::replay);
    EXPECT_EQ(table.read_count, 0);
}

TEST_F(idempotency_ledger_test, other_body_is_refused_here_and_elsewhere)
{
    begin(a, "1");
    begin(a, "2", "other");
    begin(b, "3", "other");
    EXPECT_EQ(of(a, "2"), verdict::body_differs);
    EXPECT_EQ(of(b, "3"), verdict::body_differs);
}

TEST_F(idempotency_ledger_test, started_row_of_gone_instance_is_never_run_again)
{
    begin(a, "1");
    authority.members.erase(authority.members.begin());
    begin(b, "2");
    EXPECT_EQ(of(b, "2"), verdict::outcome_unknown);
}

TEST_F(idempotency_ledger_test, started_row_of_former_incarnation_is_never_run_again)
{
    begin(a, "1");
    authority.members.front().incarnation = 2;
    begin(b, "2");
    EXPECT_EQ(of(b, "2"), verdict::outcome_unknown);
}

TEST_F(idempotency_ledger_test, lost_commit_answer_is_read_back)
{
    table.commits = mode::answer_lost;
    begin(a, "1");
    run(100ms);
    EXPECT_EQ(of(a, "1"), verdict::proceed);
    EXPECT_EQ(table.commit_count, 1);
}

TEST_F(idempotency_ledger_test, unavailable_store_is_told_at_once)
{
    table.commits = mode::unavailable;
    begin(a, "1");
    EXPECT_EQ(of(a, "1"), verdict::store_unavailable);
    EXPECT_EQ(a.ledger->writes_in_progress(), 0U);
}

TEST_F(idempotency_ledger_test, unknown_commit_that_lands_after_deadline_becomes_not_run)
{
    table.commits = mode::late;
    begin(a, "1", "body", 1s);
    run(1s);
    EXPECT_EQ(of(a, "1"), verdict::store_unavailable);
    table.commits = mode::works;
    table.land_late();
    run(1s);
    EXPECT_NE(row_text().find("\"not-run\""), std::string::npos) << row_text();
    begin(b, "2");
    EXPECT_EQ(of(b, "2"), verdict::proceed);
}

TEST_F(idempotency_ledger_test, unknown_commit_that_never_lands_leaves_no_row)
{
    table.commits = mode::late;
    begin(a, "1", "body", 1s);
    run(1s);
    table.commits = mode::works;
    run(5s);
    EXPECT_TRUE(table.rows.empty());
}

TEST_F(idempotency_ledger_test, late_duplicate_claims_run_request_once)
{
    // The first commit lands after the second was tried; both are this instance's.
    table.commits = mode::late;
    begin(a, "1");
    run(60ms);
    table.land_late();
    table.commits = mode::works;
    run(1s);
    EXPECT_EQ(of(a, "1"), verdict::proceed);
    begin(b, "2");
    run(1s);
    EXPECT_EQ(of(b, "2"), std::nullopt);
}

TEST_F(idempotency_ledger_test, not_run_row_is_taken_over)
{
    begin(a, "1");
    call(a, [&](auto& ledger, actions& out)
         { ledger.mark_not_run(now, request_id("1"), out); });
    begin(b, "2");
    EXPECT_EQ(of(b, "2"), verdict::proceed);
    begin(a, "3");
    run(1s);
    EXPECT_EQ(of(a, "3"), std::nullopt);
}

TEST_F(idempotency_ledger_test, waiting_repeat_runs_when_first_did_not)
{
    begin(a, "1");
    begin(a, "2");
    call(a,
         [&](auto& ledger, actions& out) { ledger.abandon(now, request_id("1"), out); });
    EXPECT_EQ(of(a, "2"), verdict::proceed);
}

TEST_F(idempotency_ledger_test, unknown_outcome_is_told_to_repeats)
{
    begin(a, "1");
    begin(a, "2");
    call(a, [&](auto& ledger, actions& out)
         { ledger.mark_unknown(now, request_id("1"), out); });
    begin(b, "3");
    EXPECT_EQ(of(a, "2"), verdict::outcome_unknown);
    EXPECT_EQ(of(b, "3"), verdict::outcome_unknown);
}

TEST_F(idempotency_ledger_test, large_answer_is_not_kept_and_replays_as_unknown)
{
    begin(a, "1");
    finish(a, "1", std::string(256 * 1024 + 1, 'x'));
    begin(b, "2");
    EXPECT_EQ(of(b, "2"), verdict::outcome_unknown);
    EXPECT_NE(row_text().find("answer_too_large"), std::string::npos);
}

TEST_F(idempotency_ledger_test, answer_is_written_once_store_is_back)
{
    begin(a, "1");
    table.commits = mode::unavailable;
    finish(a, "1");
    run(10s);
    EXPECT_EQ(a.ledger->writes_in_progress(), 1U);
    begin(a, "2");
    EXPECT_EQ(of(a, "2"), verdict::replay);
    table.commits = mode::works;
    run(1s);
    EXPECT_EQ(a.ledger->writes_in_progress(), 0U);
    begin(b, "3");
    EXPECT_EQ(of(b, "3"), verdict::replay);
}

TEST_F(idempotency_ledger_test, repeat_of_running_request_is_decided_by_deadline)
{
    begin(a, "1");
    begin(b, "2", "body", 1s);
    run(975ms);
    EXPECT_EQ(of(b, "2"), verdict::outcome_unknown);
}

TEST_F(idempotency_ledger_test, missing_answer_counts_as_unknown_outcome)
{
    table.commits = mode::silent;
    begin(a, "1", "body", 30s);
    run(11s);
    EXPECT_EQ(of(a, "1"), verdict::proceed);
}

} // namespace
} // namespace carawayturn

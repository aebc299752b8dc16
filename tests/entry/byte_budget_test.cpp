#include "coordination/entry/byte_budget.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace carawayturn::entry
{
namespace
{

// Guards against bodies that are each within their own limit and together fill the memory
// of the process.
TEST(byte_budget_test, many_long_bodies_hold_no_more_than_the_budget)
{
    byte_budget budget(1000);
    std::vector<std::unique_ptr<byte_reservation>> requests;
    int admitted = 0;
    for (int i = 0; i < 20; ++i)
    {
        requests.push_back(std::make_unique<byte_reservation>(budget));
        admitted += requests.back()->grow_to(150) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 6);
    EXPECT_EQ(budget.taken(), 900U);
}

// Guards against a body of unknown length whose earlier bytes are counted again with each
// part.
TEST(byte_budget_test, growing_body_is_counted_once)
{
    byte_budget budget(1000);
    byte_reservation request(budget);
    EXPECT_TRUE(request.grow_to(400));
    EXPECT_TRUE(request.grow_to(300));
    EXPECT_TRUE(request.grow_to(1000));
    EXPECT_EQ(budget.taken(), 1000U);
    EXPECT_FALSE(request.grow_to(1001));
    EXPECT_EQ(budget.taken(), 1000U);
}

// Guards against a budget that shrinks with every request.
TEST(byte_budget_test, finished_request_releases_its_bytes)
{
    byte_budget budget(1000);
    {
        byte_reservation const empty(budget);
        byte_reservation request(budget);
        EXPECT_TRUE(request.grow_to(1000));
    }
    EXPECT_EQ(budget.taken(), 0U);
}

// Guards against short answers that depend on the memory which long ones have taken.
TEST(byte_budget_test, free_bytes_need_no_budget)
{
    byte_budget budget(0);
    byte_reservation answer(budget, 100);
    EXPECT_TRUE(answer.resize(100));
    EXPECT_FALSE(answer.resize(101));
    EXPECT_FALSE(answer.grow_to(101));
    EXPECT_EQ(budget.taken(), 0U);
}

// Guards against a stream that keeps the memory of its longest event until it ends.
TEST(byte_budget_test, shrinking_reservation_releases_bytes)
{
    byte_budget budget(1000);
    byte_reservation answer(budget, 100);
    EXPECT_TRUE(answer.resize(600));
    EXPECT_EQ(budget.taken(), 500U);
    EXPECT_TRUE(answer.resize(150));
    EXPECT_EQ(budget.taken(), 50U);
    EXPECT_TRUE(answer.resize(0));
    EXPECT_EQ(budget.taken(), 0U);
}

} // namespace
} // namespace carawayturn::entry

#include "state/entry/refusal_reason.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace carawayturn::entry
{
namespace
{

// Guards against a refusal reason in the log that the operators' page does not explain.
TEST(refusal_reason_test, every_reason_is_documented_for_operators)
{
    std::ostringstream page;
    page << std::ifstream(CARAWAYTURN_OPERATIONS_PAGE).rdbuf();
    for (int i = 0; i <= static_cast<int>(refusal_reason::deadline_passed); ++i)
    {
        auto const reason = static_cast<refusal_reason>(i);
        EXPECT_NE(page.str().find("`" + std::string(name_of(reason)) + "`"),
                  std::string::npos)
            << name_of(reason);
    }
}

// Guards against a status that guarantees that a request has not run although it may have
// run.
TEST(refusal_reason_test, status_does_not_deny_execution_after_a_send)
{
    EXPECT_EQ(status_of(refusal_reason::backend_failed), 502U);
    EXPECT_EQ(status_of(refusal_reason::deadline_passed), 504U);
}

} // namespace
} // namespace carawayturn::entry

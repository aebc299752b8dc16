#include "protocol/admin_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawayturn
{

std::string print_submission_answer(answer_submission const& answer)
{
    boost::json::array missing;
    for (auto const& instance : answer.missing)
        missing.emplace_back(instance.str());
    boost::json::object body;
    body.emplace("version", answer.version);
    body.emplace("accepted", answer.accepted);
    body.emplace("missing", std::move(missing));
    if (answer.failure)
    {
        auto& failure = body["error"].emplace_object();
        failure.emplace("code", name_of(answer.failure->code));
        failure.emplace("step", answer.failure->step);
        failure.emplace("detail", answer.failure->detail);
    }
    return boost::json::serialize(body);
}

} // namespace carawayturn

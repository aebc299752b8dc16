#include "coordination/entry/end_confirmation.hpp"

namespace carawayturn::entry
{

bool end_confirmation::note_end(std::string_view server, std::string_view last_id)
{
    if (!server_.empty() && last_id_ == last_id)
        return server_ != server;
    server_ = server;
    last_id_ = last_id;
    return false;
}

} // namespace carawayturn::entry

#pragma once

#include "transport/entry/entry_services.hpp"

#include <string>

namespace carawayturn::entry
{

/// Records and logs that a backend server has crashed: it refuses connections or has a
/// new incarnation.
void note_server_crash(entry_services& services, std::string const& server);

} // namespace carawayturn::entry

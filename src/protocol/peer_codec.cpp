#include "protocol/peer_codec.hpp"

#include "transport/bounded_ring.hpp"

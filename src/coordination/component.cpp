#include "coordination/component.hpp"

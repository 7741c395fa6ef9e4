// A running broker takes up a whole new configuration in one event.
#include <gtest/gtest.h>

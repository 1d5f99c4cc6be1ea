// Entry point of the process tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

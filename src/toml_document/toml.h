// toml++, with its assertions off. Version 3.3 asserts (or, optimised by clang, takes for granted) that a key
// begins with a key's character, and then reports well that it does not: a file's fault must not end the
// program.
#pragma once

#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

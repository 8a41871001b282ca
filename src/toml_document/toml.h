// toml++ with its assertions disabled. Version 3.3 asserts (or, optimised by clang, assumes) that a key
// begins with a key character, and afterwards reports that error correctly. An invalid file must not end the
// process.
#pragma once

#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

// The subcommands of fernward, implemented in the files of this folder. Each returns the exit code.
#pragma once

#include "arguments/arguments.h"

namespace fernward::commands {

int serve(const arguments::Arguments& args);        // run the router
int check_config(const arguments::Arguments& args); // check the platform file named by NODE_CONFIG
int config(const arguments::Arguments& args);       // create, check and explain an application's file
int sidecar(const arguments::Arguments& args);      // run the router and its application

} // namespace fernward::commands

// The sub-commands of fernward; each is one file here.
#pragma once

#include "arguments/arguments.h"

namespace fernward::commands {

int serve(const arguments::Arguments& given);        // run the router
int check_config(const arguments::Arguments& given); // check the file that NODE_CONFIG names
int config(const arguments::Arguments& given);       // write, check and explain an application's file
int sidecar(const arguments::Arguments& given);      // run the router and the application beside it

} // namespace fernward::commands

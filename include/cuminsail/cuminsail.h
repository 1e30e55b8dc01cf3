/**
 * cuminsail.h - the headers of the query and order service
 *
 * Every library has a prefix for its names:
 *
 *   cs_             errors, clock, log, counters, JSON        src/share
 *   config_         reading and validating the configuration  src/libconfig
 *   instance_list_  the platform's instance list              src/libconfig
 *   list_           the entries of the instance list          src/libconfig
 *   settings_       the settings of one daemon                src/libconfig
 *   policy_         all decisions, without any I/O            src/libpolicy
 *   http1_          event loop and HTTP/1.1 connections       src/libhttp
 *   caller_         HTTP server for callers                   src/libcaller
 *   upstream_       HTTP client for upstreams                 src/libupstream
 *   platform_       reading and watching the platform         src/libplatform
 *   peer_           links between daemons                     src/libpeer
 *   operator_       HTTP pages for operators                  src/liboperator
 *   engine_         one daemon, built from the other parts    src/libengine
 *
 * Unless a header states otherwise, functions are called from the thread of the
 * event loop, strings are UTF-8 and end in NUL, times are in microseconds of a
 * struct cs_clock, and functions that return int return 0 or a negative code of
 * error.h.
 */
#ifndef CUMINSAIL_CUMINSAIL_H
#define CUMINSAIL_CUMINSAIL_H

#include "cuminsail/caller.h"
#include "cuminsail/clock.h"
#include "cuminsail/compress.h"
#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/engine.h"
#include "cuminsail/error.h"
#include "cuminsail/json.h"
#include "cuminsail/log.h"
#include "cuminsail/operator.h"
#include "cuminsail/peer.h"
#include "cuminsail/platform.h"
#include "cuminsail/policy_fleet.h"
#include "cuminsail/policy_members.h"
#include "cuminsail/policy_orders.h"
#include "cuminsail/policy_owner.h"
#include "cuminsail/policy_query.h"
#include "cuminsail/policy_revision.h"
#include "cuminsail/upstream.h"

#endif

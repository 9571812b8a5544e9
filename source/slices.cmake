wagtail_slice(base PkgConfig::XXHASH)
wagtail_slice(eventloop wagtail-base)
wagtail_slice(responsiveness wagtail-base)
wagtail_slice(http wagtail-base CURL::libcurl restinio::restinio)
wagtail_slice(store wagtail-http nlohmann_json::nlohmann_json)

add_library(wagtail-standins STATIC ${CMAKE_SOURCE_DIR}/standins/StandinStore.cpp
    ${CMAKE_SOURCE_DIR}/standins/StoreProgram.cpp)
target_include_directories(wagtail-standins PUBLIC ${CMAKE_SOURCE_DIR}/standins)
target_link_libraries(wagtail-standins PUBLIC wagtail-http nlohmann_json::nlohmann_json)
add_executable(wagtail-standin-store ${CMAKE_SOURCE_DIR}/standins/store_main.cpp)
target_link_libraries(wagtail-standin-store PRIVATE wagtail-standins)
wagtail_slice(workers wagtail-http nlohmann_json::nlohmann_json)
target_sources(wagtail-standins PRIVATE ${CMAKE_SOURCE_DIR}/standins/StandinWorker.cpp)
target_link_libraries(wagtail-standins PUBLIC wagtail-workers)
add_executable(wagtail-standin-workers ${CMAKE_SOURCE_DIR}/standins/workers_main.cpp)
target_link_libraries(wagtail-standin-workers PRIVATE wagtail-standins)
wagtail_slice(peers wagtail-base PkgConfig::NGHTTP2 msgpackc-cxx)
wagtail_slice(timeline wagtail-base nlohmann_json::nlohmann_json)
wagtail_slice(profiles wagtail-base nlohmann_json::nlohmann_json)
wagtail_slice(capacity wagtail-workers)
wagtail_slice(placement wagtail-capacity)
wagtail_slice(configuration wagtail-store)
wagtail_slice(jobs wagtail-configuration wagtail-placement wagtail-profiles wagtail-timeline)
wagtail_slice(metrics wagtail-base)
wagtail_slice(scheduling wagtail-workers)
wagtail_slice(requests wagtail-placement wagtail-profiles wagtail-timeline wagtail-metrics)
wagtail_slice(membership wagtail-store)
wagtail_slice(settings wagtail-base tomlplusplus::tomlplusplus nlohmann_json::nlohmann_json)
wagtail_slice(logging wagtail-base Boost::log nlohmann_json::nlohmann_json)
target_link_libraries(wagtail-membership PUBLIC wagtail-peers)
target_link_libraries(wagtail-profiles PUBLIC wagtail-configuration)
target_link_libraries(wagtail-base PUBLIC nlohmann_json::nlohmann_json)
wagtail_slice(ownership wagtail-jobs wagtail-requests wagtail-membership wagtail-settings)
wagtail_slice(routing wagtail-ownership)
wagtail_slice(tenure wagtail-responsiveness wagtail-scheduling wagtail-membership wagtail-configuration)
wagtail_slice(entry wagtail-routing)
wagtail_slice(interference wagtail-base)
wagtail_slice(daemon wagtail-eventloop wagtail-entry wagtail-logging wagtail-interference)
add_executable(wagtaild ${CMAKE_SOURCE_DIR}/source/daemon/main.cpp)
target_link_libraries(wagtaild PRIVATE wagtail-daemon PkgConfig::POPT)
wagtail_slice(cli wagtail-http wagtail-profiles wagtail-settings PkgConfig::POPT)
add_executable(wagtailctl ${CMAKE_SOURCE_DIR}/source/cli/main.cpp)
target_link_libraries(wagtailctl PRIVATE wagtail-cli)

# History tests: real processes under failures; one at a time, since each is a whole deployment.
set(history_port 18000)
foreach(scenario calm kills store workers rolling leaving)
    math(EXPR history_port "${history_port} + 200")
    add_test(NAME history.${scenario}
        COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_history.py ${scenario} --seed 7 --seconds 12
            --port ${history_port})
    set_tests_properties(history.${scenario} PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)
endforeach()

add_executable(wagtail-load ${CMAKE_SOURCE_DIR}/bench/load_main.cpp ${CMAKE_SOURCE_DIR}/bench/LoadGenerator.cpp)
target_link_libraries(wagtail-load PRIVATE wagtail-standins)
add_executable(wagtail-decisions ${CMAKE_SOURCE_DIR}/bench/decisions_main.cpp)
target_link_libraries(wagtail-decisions PRIVATE wagtail-placement wagtail-interference)

add_test(NAME history.bad-input
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_bad_input.py --seed 7 --port 19600)
set_tests_properties(history.bad-input PROPERTIES RESOURCE_LOCK deployment TIMEOUT 120)

# The program that runs on the users' platform. Nothing else uses its folder.
file(GLOB platform_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
list(FILTER platform_files EXCLUDE REGEX "main\\.cpp$")
add_library(wagtail-platform STATIC ${platform_files})
target_include_directories(wagtail-platform PUBLIC ${CMAKE_SOURCE_DIR}/platform)
target_link_libraries(wagtail-platform PUBLIC wagtail-tenure wagtail-settings wagtail-logging wagtail-metrics
    wagtail-eventloop wagtail-responsiveness)
add_executable(wagtail-node ${CMAKE_SOURCE_DIR}/platform/main.cpp)
target_link_libraries(wagtail-node PRIVATE wagtail-platform PkgConfig::POPT)
if(WAGTAIL_TESTS)
    file(GLOB platform_tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/tests/*.cpp)
    add_executable(wagtail-platform-tests ${platform_tests})
    target_link_libraries(wagtail-platform-tests PRIVATE wagtail-platform wagtail-platform-standins ${RAPIDCHECK}
        GTest::gmock GTest::gtest GTest::gtest_main)
    gtest_discover_tests(wagtail-platform-tests DISCOVERY_TIMEOUT 60
        PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=1000")
    add_test(NAME platform.losses COMMAND python3 ${CMAKE_SOURCE_DIR}/platform/tests/losses_test.py)
endif()

# A stand-in of the platform in its published protocol, on which wagtail-node runs as on the real one.
file(GLOB platform_standin_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/Platform*.cpp)
add_library(wagtail-platform-standins STATIC ${platform_standin_files} ${CMAKE_SOURCE_DIR}/standins/FaultyRelay.cpp
    ${CMAKE_SOURCE_DIR}/standins/PartialAnswer.cpp ${CMAKE_SOURCE_DIR}/standins/GangRegistry.cpp
    ${CMAKE_SOURCE_DIR}/standins/RunLedger.cpp
    ${CMAKE_SOURCE_DIR}/standins/WorkerRegistration.cpp)
target_link_libraries(wagtail-platform-standins PUBLIC wagtail-standins wagtail-logging)
add_executable(wagtail-standin-platform ${CMAKE_SOURCE_DIR}/standins/platform_main.cpp)
target_link_libraries(wagtail-standin-platform PRIVATE wagtail-platform-standins)
if(WAGTAIL_TESTS)
    file(GLOB platform_standin_tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/tests/*.cpp)
    add_executable(wagtail-platform-standins-tests ${platform_standin_tests})
    target_link_libraries(wagtail-platform-standins-tests PRIVATE wagtail-platform-standins GTest::gtest
        GTest::gtest_main)
    gtest_discover_tests(wagtail-platform-standins-tests DISCOVERY_TIMEOUT 60)
endif()

# Instances of wagtail-node under a seeded schedule of faults.
add_test(NAME history.node
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_node.py --seed 4 --seconds 40 --port 20000)
set_tests_properties(history.node PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)

# The same without answers that end early or arrive late and without repeated calls.
add_test(NAME history.node-without-answer-faults
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_node.py --seed 4 --seconds 40 --without-answer-faults
        --port 20000)
set_tests_properties(history.node-without-answer-faults PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)

# The same while the connections to workers break under starts that some workers reject.
add_test(NAME history.node-connections-reset
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_node.py --sequence connections-reset --seed 1 --seconds 30
        --lease-ms 6000 --port 21000)
set_tests_properties(history.node-connections-reset PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)

# The same while callers repeat calls at other instances before they have an answer.
add_test(NAME history.node-resubmissions
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_node.py --sequence resubmissions --seed 1 --seconds 40
        --instances 8 --workers 100 --lease-ms 6000 --port 27000)
set_tests_properties(history.node-resubmissions PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)

# Programs that are stopped while they start.
foreach(program wagtail-node wagtaild)
    add_test(NAME history.early-stop-${program}
        COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_early_stop.py --program ${program} --seed 7 --port 22000)
    set_tests_properties(history.early-stop-${program} PROPERTIES RESOURCE_LOCK deployment TIMEOUT 120)
endforeach()

# The same while links to groups of workers are cut one way, reset or delayed, and instances are killed.
add_test(NAME history.wire
    COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/history/run_node.py --sequence wire --seed 1 --seconds 30
        --lease-ms 6000 --port 22000)
set_tests_properties(history.wire PROPERTIES RESOURCE_LOCK deployment TIMEOUT 300)

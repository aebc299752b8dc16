# Library of carawayturn-entry, the instance that runs on the platform: its sources from each
# layer and the platform adapter.
file(GLOB entry_sources CONFIGURE_DEPENDS
  ${CMAKE_SOURCE_DIR}/src/state/entry/*.cpp
  ${CMAKE_SOURCE_DIR}/src/coordination/entry/*.cpp
  ${CMAKE_SOURCE_DIR}/src/protocol/entry/*.cpp
  ${CMAKE_SOURCE_DIR}/src/transport/entry/*.cpp
  ${CMAKE_SOURCE_DIR}/platform/*.cpp
  ${CMAKE_SOURCE_DIR}/src/app/entry/hedge_environment.cpp)
add_library(carawayturn_entry STATIC ${entry_sources}
  ${CMAKE_SOURCE_DIR}/src/state/result.cpp
  ${CMAKE_SOURCE_DIR}/src/state/log_catalogue.cpp
  ${CMAKE_SOURCE_DIR}/src/protocol/answer_parser.cpp
  ${CMAKE_SOURCE_DIR}/src/state/stable_hash.cpp)
target_link_libraries(carawayturn_entry PUBLIC carawayturn_options Threads::Threads)
target_include_directories(carawayturn_entry PUBLIC ${CMAKE_SOURCE_DIR})
# Static and header-only libraries save memory: each shared library costs resident memory for
# its relocations.
target_link_libraries(carawayturn_entry PRIVATE spdlog::spdlog_header_only)
target_compile_definitions(carawayturn_entry PRIVATE FMT_HEADER_ONLY)
find_library(BOOST_JSON_ARCHIVE libboost_json.a REQUIRED)
find_library(ZLIB_ARCHIVE libz.a REQUIRED)
target_link_libraries(carawayturn_entry PUBLIC ${BOOST_JSON_ARCHIVE} ${ZLIB_ARCHIVE})

add_executable(carawayturn-entry ${CMAKE_SOURCE_DIR}/src/app/entry/main.cpp)
target_link_libraries(carawayturn-entry PRIVATE carawayturn_entry)
target_link_options(carawayturn-entry PRIVATE -static-libstdc++ -static-libgcc -Wl,--gc-sections -Wl,--as-needed)

//! Replica counts and slots: who may hold a model, and how slots move.
